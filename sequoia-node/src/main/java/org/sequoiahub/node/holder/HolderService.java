package org.sequoiahub.node.holder;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.authority.LeaseGranter;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.holding.LoadEstimates;
import org.sequoiahub.core.holding.MissingAdapter;
import org.sequoiahub.core.holding.Order;
import org.sequoiahub.core.holding.OrderReply;
import org.sequoiahub.core.holding.ReportReply;
import org.sequoiahub.core.holding.ResidencySettings;
import org.sequoiahub.core.holding.ResidentAdapter;
import org.sequoiahub.core.holding.RunnerOrders;
import org.sequoiahub.core.holding.RunnerResidency;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.quarantine.LoadGuard;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.peer.FleetTopology;
import org.sequoiahub.node.peer.StateCodec;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HeldBy;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.LeaseClaim;
import org.sequoiahub.schema.peer.LeaseGrant;
import org.sequoiahub.schema.peer.LeaseRelease;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.usersplatform.HostSettings;

/**
 * Acquires and renews the leases of runners and sends orders to the runners whose lease is held;
 * runs on the decision thread.
 *
 * <p>Runners do not check who sends them orders. Therefore a host sends orders to a runner only
 * while it holds a lease that a majority of the hosts granted, and a new holder waits until any
 * order of the previous holder is older than the platform's lease time.
 */
public final class HolderService {

  /**
   * Duration of a lease, counted from the sending of the last granted claim (ms). A restarted
   * granter abstains for the same time, and a silent holder is replaced after it.
   */
  private static final long LEASE_MILLIS = 1_000;

  /**
   * A host that is alive but has not advertised a runner's holdings for this long is no longer
   * considered its holder (ms). Holdings are repeated every 0.8 s, through delegates every 1.6 s,
   * and some datagrams are lost; a shorter time would let another host take over the lease as soon
   * as the holder renews it late.
   */
  private static final long HOLDER_SILENCE_MILLIS = 4_000;

  /**
   * Time that a new holder waits beyond the platform's lease time (ms): covers orders in flight and
   * the inaccuracy of timers.
   */
  private static final long ORDER_IN_FLIGHT_MILLIS = 250;

  /** Time after its start in which a host only discovers other hosts (ms): two gossip rounds. */
  private static final long DISCOVERY_MILLIS = 1_200;

  /** Timeout of an order (ms); without a reply by then, its outcome is unknown. */
  private static final long ORDER_TIMEOUT_MILLIS = 1_000;

  /** Minimum remaining time of the lease for an order to be sent (ms). */
  private static final long LEASE_MARGIN_MILLIS = 200;

  /**
   * Difference between the advances of the wall clock and the monotonic clock above which the host
   * is assumed to have been suspended (ms); all leases are then abandoned. Unlike the wall clock,
   * the monotonic clock stands still during a suspension.
   */
  private static final long SUSPENSION_THRESHOLD_MILLIS = 400;

  /**
   * A granter that started this long before this host first saw a runner has seen every lease of
   * that runner (ms): hosts see a new runner within a second, and a lease lasts one second.
   */
  private static final long NEW_RUNNER_MARGIN_MILLIS = 4_000;

  /** Time for which the state of an absent runner is retained (ms). */
  private static final long ABSENT_RETENTION_MILLIS = 60_000;

  /** Minimum interval between report requests to one runner (ms): each request has a cost. */
  private static final long REPORT_PERIOD_MILLIS = 400;

  /**
   * Interval at which the holdings of a held runner are recomputed even if no order, reply or
   * report changed them (ms): its queue time and free places change slowly.
   */
  private static final long ADVERTISE_PERIOD_MILLIS = 100;

  /**
   * Shortest interval in a large fleet between two evaluations of all runners for leases to claim
   * (ms): its cost grows with the number of runners. The held runners are processed more often.
   */
  private static final long LARGE_FLEET_SCAN_PERIOD_MILLIS = 100;

  /** Longest time that a granter states for which it has granted a lease to one host only (ms). */
  private static final long MAX_EXCLUSIVE_MILLIS = 60_000;

  /** Number of distinct host tags in the low-order part of a token. */
  private static final int TOKEN_TAG_COUNT = 1_024;

  private final HostSettings settings;
  private final Members<HostState> members;
  private final FleetTopology shape;
  private final HolderSelector selector;
  private final BooleanSupplier runnersUnreachable;
  private final LeaseGranter granter;
  private final Holdings holdings;
  private final FleetLoad fleetLoad;
  private final RunnerOrders orders;
  private final LoadGuard loadGuard;
  private final RunnerStates runnerStates;
  private final Supplier<PeerDatagram.Builder> datagramFactory;
  private final BiConsumer<String, byte[]> sender;
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;
  private final LongSupplier wallClock;
  private final ToIntFunction<String> newestVersion;
  private final Runnable holdingsChanged;
  private final EventLog log;
  private final long startedMillis;

  /**
   * The runners whose lease this host holds or claims, by instance id. An entry alone thus gives no
   * right to send orders; a runner whose lease was never gained has no residency. A lease outlives
   * the runner's process; otherwise two hosts could send orders to a restarted runner within less
   * than the platform's lease time.
   */
  private final Map<String, HeldRunner> heldRunners = new HashMap<>();

  /** When this host first saw each runner, by instance id (ms). */
  private final Map<String, Long> firstSeenMillis = new HashMap<>();

  /**
   * When each runner was last known, by instance id (ms); runner entries also disappear while the
   * store is unavailable.
   */
  private final Map<String, Long> lastKnownMillis = new HashMap<>();

  /** The host that last advertised itself as the holder, by runner address. */
  private final Map<String, String> lastHolderByAddress = new HashMap<>();

  /** The highest token seen in advertised holdings, by runner address. */
  private final Map<String, Long> highestTokenByAddress = new HashMap<>();

  private final RunnerDemands demands = new RunnerDemands();
  private long clockOffsetMillis = Long.MIN_VALUE;
  private boolean stopping;
  private long lastScanMillis = Long.MIN_VALUE / 2;
  private int engineCount;
  private @Nullable LoadEstimates loadEstimates;

  /**
   * Creates a service.
   *
   * @param incarnation start time of this process (ms since the epoch), as advertised to the other
   *     hosts
   * @param startedMillis when this process started, on {@code clock} (ms): orders of earlier
   *     processes of this host are older
   * @param datagramFactory creates a datagram with this host as its sender
   * @param sender sends a datagram's bytes to an IP address
   * @param decisionThread runs an action on the decision thread
   * @param clock returns the monotonic time (ms)
   * @param wallClock returns the time of day (ms since the epoch)
   * @param newestVersion returns the newest published version of an adapter, 0 if none was
   *     published
   * @param runnersUnreachable whether this host has lost its path to the runners
   * @param holdingsChanged called when the holdings that this host advertises have changed
   */
  public HolderService(
      HostSettings settings,
      long incarnation,
      long startedMillis,
      Members<HostState> members,
      FleetTopology shape,
      Holdings holdings,
      FleetLoad fleetLoad,
      RunnerOrders orders,
      LoadGuard loadGuard,
      RunnerStates runnerStates,
      Supplier<PeerDatagram.Builder> datagramFactory,
      BiConsumer<String, byte[]> sender,
      Consumer<Runnable> decisionThread,
      LongSupplier clock,
      LongSupplier wallClock,
      ToIntFunction<String> newestVersion,
      BooleanSupplier runnersUnreachable,
      Runnable holdingsChanged,
      EventLog log) {
    this.settings = settings;
    this.members = members;
    this.shape = shape;
    this.selector = new HolderSelector(settings, incarnation, members, shape, runnersUnreachable);
    this.runnersUnreachable = runnersUnreachable;
    this.holdings = holdings;
    this.fleetLoad = fleetLoad;
    this.orders = new CountedOrders(orders, runnerStates, decisionThread, clock);
    this.loadGuard = loadGuard;
    this.runnerStates = runnerStates;
    this.datagramFactory = datagramFactory;
    this.sender = sender;
    this.decisionThread = decisionThread;
    this.clock = clock;
    this.wallClock = wallClock;
    this.newestVersion = newestVersion;
    this.holdingsChanged = holdingsChanged;
    this.log = log;
    this.startedMillis = startedMillis;
    // On the deployment's first start no earlier process can have granted a lease, so this granter
    // need not abstain.
    long granterStart = settings.firstStart() ? startedMillis - LEASE_MILLIS : startedMillis;
    this.granter = new LeaseGranter(granterStart, LEASE_MILLIS);
  }

  /**
   * Sends the claims, lease renewals, report requests and orders that are due.
   *
   * @param runners returns the runners that hold models and may get orders, at the given time (ms)
   */
  public void tick(LongFunction<Map<RunnerEntry, EngineSpec>> runners, long nowMillis) {
    boolean scanDue =
        !shape.isLarge() || nowMillis - lastScanMillis >= LARGE_FLEET_SCAN_PERIOD_MILLIS;
    if (scanDue) {
      tick(runners.apply(nowMillis), nowMillis);
      return;
    }
    detectSuspension();
    if (!stopping) {
      advanceAll(nowMillis);
    }
  }

  /** Performs a tick that also claims the leases of runners without a holder. */
  void tick(Map<RunnerEntry, EngineSpec> runners, long nowMillis) {
    detectSuspension();
    if (stopping) {
      return;
    }
    lastScanMillis = nowMillis;
    engineCount = runners.size();
    giveUpUnreachable(nowMillis);
    boolean mayClaim = mayClaim(nowMillis);
    Set<String> present = new HashSet<>();
    runners.forEach(
        (runner, engine) -> {
          present.add(runner.instance());
          lastKnownMillis.put(runner.instance(), nowMillis);
          holdings.find(runner.id()).ifPresent(holding -> recordHolder(runner, holding));
          long seen = firstSeenMillis.computeIfAbsent(runner.instance(), id -> nowMillis);
          HeldRunner held = heldRunners.get(runner.instance());
          if (held != null) {
            updateRunner(held, runner);
          } else if (mayClaim && shouldClaim(runner, nowMillis)) {
            heldRunners.put(runner.instance(), new HeldRunner(runner, engine, LEASE_MILLIS, seen));
          }
        });
    heldRunners.keySet().retainAll(present);
    forgetAbsentRunners(nowMillis);
    advanceAll(nowMillis);
  }

  private void advanceAll(long nowMillis) {
    // Before the claims: a new round discards what the granters stated with the former one.
    for (HeldRunner held : List.copyOf(heldRunners.values())) {
      advance(held, nowMillis);
    }
    claimLeases(nowMillis);
  }

  private void recordHolder(RunnerEntry runner, Holdings.Holding holding) {
    lastHolderByAddress.put(runner.address(), holding.host());
    highestTokenByAddress.merge(runner.address(), holding.token(), Math::max);
  }

  /** Applies a runner's latest entry; after a restart of the runner, its holdings are unknown. */
  private void updateRunner(HeldRunner held, RunnerEntry runner) {
    boolean restarted = !held.runner.incarnation().equals(runner.incarnation());
    held.runner = runner;
    if (restarted) {
      log.info("runner-restarted", "runner", runner.instance(), "held", held.residency != null);
      held.reportPending = false;
      held.residency = held.residency == null ? null : newResidency(held);
    }
  }

  /** Returns the held runner with this id, which names one incarnation; null if there is none. */
  private @Nullable HeldRunner findHeldRunner(String runnerKey) {
    for (HeldRunner held : heldRunners.values()) {
      if (held.runner.id().equals(runnerKey)) {
        return held;
      }
    }
    return null;
  }

  private void forgetAbsentRunners(long nowMillis) {
    boolean anyForgotten =
        lastKnownMillis.values().removeIf(at -> nowMillis - at > ABSENT_RETENTION_MILLIS);
    if (anyForgotten) {
      firstSeenMillis.keySet().retainAll(lastKnownMillis.keySet());
      granter.retainRunners(lastKnownMillis.keySet(), ABSENT_RETENTION_MILLIS, nowMillis);
    }
  }

  /** Replaces the demands of this host's own requests, by runner id, and sends orders at once. */
  public void updateLocalDemands(Map<String, List<Demand>> changed, long nowMillis) {
    demands.updateLocal(changed);
    changed.keySet().forEach(runner -> sendNextOrder(runner, nowMillis));
  }

  /** Applies a demand of another host's requests; a new demand may cause an order at once. */
  public void updateRemoteDemand(String host, String runner, Demand demand, long nowMillis) {
    // Repeated demands wait for the next tick: 70 hosts send about 300 of them a second.
    if (demands.updateRemote(host, runner, demand, nowMillis)) {
      sendNextOrder(runner, nowMillis);
    }
  }

  /**
   * Sends the holdings of runners to a host that waits for adapters there; omits the runners that
   * this host does not hold and those whose holdings were sent recently and have not changed.
   *
   * <p>The delegates would report the arrival of an adapter 0.2 s later on average, which is most
   * of the duration of a load.
   */
  public void sendHoldings(String ip, Set<String> runners, long nowMillis) {
    Digest.Builder digest = Digest.newBuilder();
    for (String runner : runners) {
      HeldRunner held = findHeldRunner(runner);
      if (held != null && held.residency != null && held.markSentIfDue(ip, nowMillis)) {
        holdings
            .find(runner)
            .filter(holding -> holding.host().equals(settings.host()))
            .ifPresent(
                holding ->
                    digest.addHoldings(
                        HeldBy.newBuilder()
                            .setHost(settings.host())
                            .setHolding(StateCodec.encodeHolding(runner, holding, nowMillis))));
      }
    }
    if (digest.getHoldingsCount() > 0) {
      sender.accept(ip, datagramFactory.get().setDigest(digest).build().toByteArray());
    }
  }

  /** Records that a runner refused a request for an adapter that it is believed to hold. */
  public void recordMissingAdapter(String runner, String target, long nowMillis) {
    HeldRunner held = findHeldRunner(runner);
    if (held != null && held.residency != null) {
      MissingAdapter missing = held.residency.adapterMissing(target, nowMillis);
      runnerStates.recordMissingAdapter(runner, target, missing);
      advertise(held, nowMillis);
    }
  }

  /** Handles a claim of another host; replies only if at least one lease is granted. */
  public void handleClaim(String host, String ip, LeaseClaim claim, long nowMillis) {
    LeaseGrant.Builder grant =
        LeaseGrant.newBuilder()
            .setClaimSentMs(claim.getSentMs())
            .setUptimeMs(nowMillis - startedMillis)
            .setFirstStart(settings.firstStart());
    if (!stopping) {
      for (String runner : claim.getRunnersList()) {
        if (granter.grant(runner, host, claim.getDurationMs(), nowMillis)) {
          grant.addGranted(runner);
          grant.addExclusiveMs(
              (int)
                  Math.min(granter.exclusiveMillis(runner, host, nowMillis), MAX_EXCLUSIVE_MILLIS));
          if (granter.grantedOnlyTo(runner, host)) {
            grant.addOnlyEver(runner);
          }
        }
      }
    }
    if (grant.getGrantedCount() > 0) {
      sender.accept(ip, datagramFactory.get().setGrant(grant).build().toByteArray());
    }
  }

  /** Handles a grant of leases to this host. */
  public void handleGrant(String host, LeaseGrant grant, long nowMillis) {
    for (int i = 0; i < grant.getGrantedCount(); i++) {
      String runner = grant.getGranted(i);
      HeldRunner held = heldRunners.get(runner);
      long exclusiveMillis = i < grant.getExclusiveMsCount() ? grant.getExclusiveMs(i) : 0;
      if (held != null
          && held.authority.claimGranted(
              host, grant.getClaimSentMs(), exclusiveMillis, nowMillis)) {
        long start = nowMillis - grant.getUptimeMs();
        if (sawAllLeases(start, grant.getFirstStart(), held)
            && grant.getOnlyEverList().contains(runner)) {
          held.exclusiveGranters.add(host);
        }
      }
    }
  }

  /** Handles the release of leases by another host. */
  public void handleRelease(String host, LeaseRelease release) {
    release.getRunnersList().forEach(runner -> granter.release(runner, host));
  }

  /** Releases all leases; no orders are sent and no leases granted from then on. */
  public void stop() {
    stopping = true;
    release(heldRunners.keySet(), clock.getAsLong());
    heldRunners.clear();
  }

  /** Returns whether this host holds or claims the lease of any runner. */
  public boolean isActive() {
    return !heldRunners.isEmpty();
  }

  /** Returns the ids of the runners to which this host may send orders now. */
  public Set<String> orderedRunners(long nowMillis) {
    return runnerIds(held -> mayOrder(held, nowMillis));
  }

  /** Returns the ids of the runners whose holdings this host advertises. */
  public Set<String> advertisedRunners(long nowMillis) {
    return runnerIds(held -> mayAdvertise(held, nowMillis));
  }

  private Set<String> runnerIds(Predicate<HeldRunner> predicate) {
    Set<String> runners = new HashSet<>();
    for (HeldRunner held : heldRunners.values()) {
      if (predicate.test(held)) {
        runners.add(held.runner.id());
      }
    }
    return runners;
  }

  /**
   * Returns whether this host advertises a runner's holdings: it may send orders to the runner, or
   * will be allowed to once no older order can be in flight.
   *
   * <p>Just after all hosts have started, two hosts that know few others can both believe that they
   * hold the lease. If the one that then loses it had already advertised holdings, the other hosts
   * would keep taking it for the holder because of its higher token, and adapters would wait 0.3 s
   * and more to be loaded. A lease must therefore have lasted for its full duration first: two
   * leases of one runner cannot both last that long.
   */
  private boolean mayAdvertise(HeldRunner held, long nowMillis) {
    boolean heldForFullLease = nowMillis - held.gainedMillis >= LEASE_MILLIS;
    return held.residency != null
        && nowMillis - held.lastHeldMillis < LEASE_MILLIS
        && (heldForFullLease || nowMillis >= held.ordersFromMillis);
  }

  private boolean mayOrder(HeldRunner held, long nowMillis) {
    return held.residency != null
        && nowMillis - held.lastHeldMillis < LEASE_MILLIS
        && held.authority.rights(nowMillis + LEASE_MARGIN_MILLIS).held()
        && nowMillis >= held.ordersFromMillis;
  }

  private void detectSuspension() {
    long offsetMillis = wallClock.getAsLong() - clock.getAsLong();
    boolean suspended =
        clockOffsetMillis != Long.MIN_VALUE
            && offsetMillis - clockOffsetMillis > SUSPENSION_THRESHOLD_MILLIS;
    clockOffsetMillis = offsetMillis;
    if (suspended) {
      log.warning(
          "leases-given-up", "why", "the host was suspended or its wall clock was set forward");
      heldRunners.clear();
    }
  }

  /**
   * Returns whether this host may claim leases: it has had time to discover the other hosts, it
   * knows at least one of them if there should be others, and in a large fleet it is a delegate.
   */
  private boolean mayClaim(long nowMillis) {
    if (nowMillis - startedMillis < DISCOVERY_MILLIS || (shape.isLarge() && !shape.isDelegate())) {
      return false;
    }
    return !settings.expectsOtherHosts() || !members.alive(nowMillis).isEmpty();
  }

  /** Releases the leases of runners that only other hosts reach. */
  private void giveUpUnreachable(long nowMillis) {
    if (!runnersUnreachable.getAsBoolean()) {
      return;
    }
    Set<String> givenUp = new HashSet<>();
    for (HeldRunner held : heldRunners.values()) {
      if (!selector.selectsThisHost(held.runner, nowMillis)) {
        givenUp.add(held.runner.instance());
      }
    }
    heldRunners.keySet().removeAll(givenUp);
    release(givenUp, nowMillis);
  }

  private boolean shouldClaim(RunnerEntry runner, long nowMillis) {
    Optional<Holdings.Holding> holding = holdings.find(runner.id());
    if (holding.isPresent()
        && members.isHealthy(holding.get().host(), nowMillis)
        && !selector.isUnreachable(holding.get().host())
        && nowMillis - holding.get().reportedMillis() < HOLDER_SILENCE_MILLIS) {
      return false;
    }
    return selector.selectsThisHost(runner, nowMillis);
  }

  private void claimLeases(long nowMillis) {
    List<Set<String>> electorates = shape.leaseElectorates(nowMillis);
    boolean due = false;
    for (HeldRunner held : heldRunners.values()) {
      held.authority.updateElectorates(electorates, nowMillis);
      due |= held.authority.claimDue(nowMillis);
    }
    if (!due) {
      return;
    }
    // One datagram to each host claims all runners: claiming six runners one by one causes 2,300
    // datagrams a second in a fleet of 66 hosts, replies included, and holders lose leases.
    LeaseClaim.Builder claim =
        LeaseClaim.newBuilder().setSentMs(nowMillis).setDurationMs((int) LEASE_MILLIS);
    claim.addAllRunners(heldRunners.keySet());
    byte[] bytes = datagramFactory.get().setClaim(claim).build().toByteArray();
    claimRecipients(electorates, nowMillis).forEach(member -> sender.accept(member.ip(), bytes));
    for (HeldRunner held : heldRunners.values()) {
      held.authority.roundSent(nowMillis);
      held.exclusiveGranters.clear();
      String runner = held.runner.instance();
      if (granter.grant(runner, settings.host(), LEASE_MILLIS, nowMillis)) {
        long exclusiveMillis = granter.exclusiveMillis(runner, settings.host(), nowMillis);
        held.authority.claimGranted(settings.host(), nowMillis, exclusiveMillis, nowMillis);
      }
    }
  }

  /** Returns the other hosts to claim from: those of the electorates that may respond. */
  private List<Member<HostState>> claimRecipients(List<Set<String>> electorates, long nowMillis) {
    return members.reachable(nowMillis).stream()
        .filter(member -> electorates.stream().anyMatch(hosts -> hosts.contains(member.host())))
        .toList();
  }

  /** Does what is due for one runner, depending on whether its lease is held. */
  private void advance(HeldRunner held, long nowMillis) {
    var rights = held.authority.rights(nowMillis);
    if (!rights.held()) {
      handleMissingLease(held, nowMillis);
      return;
    }
    if (held.residency == null
        || !held.isContinued(rights.term(), settings.leaseMillis(), nowMillis)) {
      leaseGained(held, nowMillis);
    }
    held.term = rights.term();
    held.lastHeldMillis = nowMillis;
    RunnerResidency residency = held.residency;
    boolean reportWanted =
        residency != null && residency.isReportDue(nowMillis) && nowMillis >= held.reportDueMillis;
    // Also requested while orders must wait: the adapters that the runner holds can serve requests.
    if (reportWanted
        && !held.reportPending
        && runnerStates.tryAcquireForHolder(held.runner.id(), CallKind.REPORT, nowMillis)) {
      requestReport(held, nowMillis);
    }
    sendNextOrder(held.runner.id(), nowMillis);
    if (nowMillis >= held.advertiseDueMillis) {
      advertise(held, nowMillis);
    }
  }

  private void handleMissingLease(HeldRunner held, long nowMillis) {
    boolean heldRecently = nowMillis - held.lastHeldMillis < settings.leaseMillis();
    if (!heldRecently && held.residency != null) {
      log.warning("runner-lost", "runner", held.runner.id());
      heldRunners.remove(held.runner.instance());
    } else if (!heldRecently && !selector.selectsThisHost(held.runner, nowMillis)) {
      // Without a release, the hosts that granted the claim would refuse the preferred holder for
      // the rest of the lease.
      heldRunners.remove(held.runner.instance());
      release(Set.of(held.runner.instance()), nowMillis);
    }
  }

  private void release(Set<String> runners, long nowMillis) {
    if (runners.isEmpty()) {
      return;
    }
    LeaseRelease.Builder release = LeaseRelease.newBuilder().addAllRunners(runners);
    byte[] bytes = datagramFactory.get().setRelease(release).build().toByteArray();
    members.alive(nowMillis).forEach(member -> sender.accept(member.ip(), bytes));
    runners.forEach(runner -> granter.release(runner, settings.host()));
  }

  private void leaseGained(HeldRunner held, long nowMillis) {
    held.residency = newResidency(held);
    held.gainedMillis = nowMillis;
    // A previous holder, if there was one, may have sent orders until now.
    held.ordersFromMillis =
        isFirstHolder(held, nowMillis)
            ? nowMillis
            : nowMillis + settings.leaseMillis() + ORDER_IN_FLIGHT_MILLIS;
    // The tag is derived from this host's name, so that tokens of different hosts rarely coincide.
    long tag = Math.floorMod(settings.host().hashCode(), TOKEN_TAG_COUNT);
    long minimum =
        highestTokenByAddress.getOrDefault(held.runner.address(), 0L) / TOKEN_TAG_COUNT + 1;
    held.token = Math.max(wallClock.getAsLong(), minimum) * TOKEN_TAG_COUNT + tag;
    // orders_in_ms is the time until this host may send orders to the runner.
    log.info(
        "runner-held",
        "runner",
        held.runner.id(),
        "orders_in_ms",
        Math.max(0, held.ordersFromMillis - nowMillis),
        "token",
        held.token);
  }

  private RunnerResidency newResidency(HeldRunner held) {
    ResidencySettings residencySettings = ResidencySettings.forFleet(engineCount, shape.isLarge());
    LoadEstimates shared = loadEstimates;
    if (shared == null) {
      shared = LoadEstimates.of(residencySettings, engineCount);
      loadEstimates = shared;
    }
    return new RunnerResidency(held.engine, residencySettings, shared);
  }

  /**
   * Returns whether no other host can have sent orders to a runner: a majority of the hosts has
   * seen every lease of the runner since it appeared and granted it to this host only, and any
   * other majority shares a host with this one.
   *
   * <p>A restarted runner has a new id, but may be mistaken for its predecessor at the same
   * address: if another host was the holder of the predecessor, this counts as a change of the
   * holder.
   */
  private boolean isFirstHolder(HeldRunner held, long nowMillis) {
    String previous = lastHolderByAddress.getOrDefault(held.runner.address(), settings.host());
    if (!previous.equals(settings.host())) {
      return false;
    }
    boolean self =
        sawAllLeases(startedMillis, settings.firstStart(), held)
            && granter.grantedOnlyTo(held.runner.instance(), settings.host());
    return shape.leaseElectorates(nowMillis).stream()
        .allMatch(electorate -> isMajorityExclusive(electorate, held, self));
  }

  /**
   * Returns whether a majority of an electorate granted a runner's lease to this host only.
   *
   * @param self whether this host did as a granter
   */
  private boolean isMajorityExclusive(Set<String> electorate, HeldRunner held, boolean self) {
    long count = electorate.stream().filter(held.exclusiveGranters::contains).count();
    long own = self && electorate.contains(settings.host()) ? 1 : 0;
    return 2 * (count + own) > electorate.size();
  }

  /**
   * Returns whether a granter has seen every lease of a runner: it was running before the runner
   * appeared, or belongs to the deployment's first start, before which no leases existed.
   */
  private static boolean sawAllLeases(long granterStart, boolean firstStart, HeldRunner held) {
    return firstStart || granterStart + NEW_RUNNER_MARGIN_MILLIS < held.firstSeenMillis;
  }

  private void requestReport(HeldRunner held, long nowMillis) {
    held.reportPending = true;
    held.reportDueMillis = nowMillis + REPORT_PERIOD_MILLIS;
    RunnerEntry runner = held.runner;
    orders.fetchReport(
        runner,
        ORDER_TIMEOUT_MILLIS,
        reply -> decisionThread.accept(() -> handleReport(held, runner, reply)));
  }

  private void handleReport(HeldRunner held, RunnerEntry runner, ReportReply reply) {
    if (!runner.incarnation().equals(held.runner.incarnation())) {
      return;
    }
    held.reportPending = false;
    RunnerResidency residency = held.residency;
    if (residency == null || heldRunners.get(held.runner.instance()) != held) {
      return;
    }
    long now = clock.getAsLong();
    if (reply instanceof ReportReply.Missing missing) {
      log.info("report-missing", "runner", held.runner.id(), "why", missing.reason());
      return;
    }
    residency.applyReport(((ReportReply.Received) reply).report(), now);
    sendNextOrder(held.runner.id(), now);
    advertise(held, now);
  }

  private void sendNextOrder(String runnerId, long nowMillis) {
    HeldRunner held = findHeldRunner(runnerId);
    if (held == null || !mayOrder(held, nowMillis)) {
      return;
    }
    RunnerResidency residency = held.residency;
    if (residency == null) {
      return;
    }
    int transitElsewhere = holdings.inTransitElsewhere(runnerId, nowMillis);
    Optional<Order> next =
        residency.nextOrder(
            currentDemands(runnerId, nowMillis),
            target -> fleetLoad.uses(runnerId, target, nowMillis),
            newestVersion,
            transitElsewhere,
            nowMillis);
    if (next.isPresent() && runnerStates.tryAcquireForHolder(runnerId, CallKind.ORDER, nowMillis)) {
      sendOrder(held, residency, next.get(), transitElsewhere, nowMillis);
    }
  }

  private Collection<Demand> currentDemands(String runnerId, long nowMillis) {
    List<Demand> current = demands.current(runnerId, nowMillis);
    current.removeIf(demand -> !mayLoad(demand, nowMillis));
    return current;
  }

  private boolean mayLoad(Demand demand, long nowMillis) {
    String target = demand.target();
    return loadGuard.mayLoad(target, newestVersion.applyAsInt(target), nowMillis);
  }

  private void sendOrder(
      HeldRunner held,
      RunnerResidency residency,
      Order order,
      int transitElsewhere,
      long nowMillis) {
    long sequence = residency.sequence();
    residency.orderSent(order, nowMillis);
    if (order.operation() == Order.Operation.LOAD) {
      loadGuard.recordOrder(order.target(), order.version(), held.runner.idHash(), nowMillis);
    }
    log.info(
        "order",
        "runner",
        held.runner.id(),
        "operation",
        order.operation(),
        "target",
        order.target(),
        "version",
        order.version(),
        "expect",
        sequence);
    RunnerEntry runner = held.runner;
    orders.sendOrder(
        runner,
        order,
        sequence,
        settings.host(),
        held.token,
        ORDER_TIMEOUT_MILLIS,
        reply ->
            decisionThread.accept(
                () -> handleOrderReply(held, runner, residency, order, reply, transitElsewhere)));
    advertise(held, nowMillis);
  }

  private void handleOrderReply(
      HeldRunner held,
      RunnerEntry runner,
      RunnerResidency residency,
      Order order,
      OrderReply reply,
      int transitElsewhere) {
    long now = clock.getAsLong();
    if (reply == OrderReply.UNKNOWN && order.operation() == Order.Operation.LOAD) {
      loadGuard.recordUnansweredOrder(order.target(), order.version(), runner.idHash(), now);
    }
    residency.replyReceived(order, reply, transitElsewhere, now);
    if (reply != OrderReply.ACCEPTED && reply != OrderReply.DONE) {
      log.warning(
          "order-failed",
          "runner",
          held.runner.id(),
          "operation",
          order.operation(),
          "target",
          order.target(),
          "reply",
          reply);
    }
    if (heldRunners.get(held.runner.instance()) == held && held.residency == residency) {
      sendNextOrder(held.runner.id(), now);
      advertise(held, now);
    }
  }

  private void advertise(HeldRunner held, long nowMillis) {
    RunnerResidency residency = held.residency;
    if (residency == null || residency.sequence() < 0 || !mayAdvertise(held, nowMillis)) {
      return;
    }
    held.advertiseDueMillis = nowMillis + ADVERTISE_PERIOD_MILLIS;
    String runner = held.runner.id();
    Map<String, ResidentAdapter> items = new HashMap<>();
    residency.heldAdapters().forEach(item -> items.put(item.target(), item));
    int freePlaces = residency.freePlaces(target -> fleetLoad.uses(runner, target, nowMillis));
    Optional<Holdings.Holding> previous = holdings.find(runner);
    holdings.update(
        runner,
        new Holdings.Holding(
            settings.host(),
            held.token,
            nowMillis,
            items,
            residency.models(),
            freePlaces,
            residency.loadMillis(holdings.inTransitElsewhere(runner, nowMillis)),
            residency.queueMillis(nowMillis),
            held.ordersFromMillis,
            loadEstimates == null ? 0 : loadEstimates.warmCapacity().size()));
    boolean same =
        previous.isPresent()
            && previous.get().adapters().equals(items)
            && previous.get().models().equals(residency.models());
    if (!same) {
      held.changeCount++;
      holdingsChanged.run();
    }
  }
}
