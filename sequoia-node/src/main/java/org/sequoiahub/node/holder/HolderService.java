package org.sequoiahub.node.holder;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.authority.LeaseGranter;
import org.sequoiahub.core.authority.LeasedAuthority;
import org.sequoiahub.core.authority.RenewalRound;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.holding.HeldItem;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.holding.LoadEstimates;
import org.sequoiahub.core.holding.Order;
import org.sequoiahub.core.holding.OrderReply;
import org.sequoiahub.core.holding.ReportReply;
import org.sequoiahub.core.holding.ResidencySettings;
import org.sequoiahub.core.holding.RunnerOrders;
import org.sequoiahub.core.holding.RunnerResidency;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.quarantine.LoadGuard;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.peer.FleetShape;
import org.sequoiahub.node.peer.StateCodec;
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
 * Gains and keeps the right to order runners, and orders them; runs on the decision thread.
 *
 * <p>Runners do not check who orders them. So a host orders a runner only with a lease that a
 * majority of the hosts granted, and a new holder waits until nothing that the one before ordered
 * can be younger than the platform's lease time.
 */
public final class HolderService {

  /**
   * How long a lease lasts after the sending of its last granted claim (ms). A granter that
   * restarted abstains for as long, and a silent holder is replaced after it.
   */
  private static final long LEASE_MILLIS = 1_000;

  /**
   * A living host that has not told for this long what a runner holds does not order it any more
   * (ms). Holdings are repeated every 0.8 s, through delegates every 1.6 s, and some are lost; a
   * claim made too soon takes the lease in the first moment in which its holder is late.
   */
  private static final long HOLDER_SILENT_MILLIS = 4_000;

  /** Wait of a new holder beyond the platform's lease time (ms): an order's flight and timers. */
  private static final long ORDER_FLIGHT_MILLIS = 250;

  /** After its start a host first learns who else there is (ms): two rounds of gossip. */
  private static final long SETTLE_MILLIS = 1_200;

  /** An order without a reply for this long is of unknown outcome (ms). */
  private static final long ORDER_TIMEOUT_MILLIS = 1_000;

  /** An order is sent only if the lease lasts at least this much longer (ms). */
  private static final long LEASE_MARGIN_MILLIS = 200;

  /** A remote demand counts for this long after it was told (ms); it is repeated every 120 ms. */
  private static final long DEMAND_MILLIS = 300;

  /**
   * The steady clock does not count a suspension of the host; the time of day does. A difference of
   * more than this between the two (ms) is taken for one, and all leases are given up.
   */
  private static final long SUSPENSION_MILLIS = 400;

  /**
   * A granter that started this long before a runner was first seen here has seen every lease of it
   * (ms): a runner is seen within a second, and a lease lasts one.
   */
  private static final long NEW_RUNNER_MARGIN_MILLIS = 4_000;

  /** What is known of a runner is forgotten when it has been gone for this long (ms). */
  private static final long RETAIN_MILLIS = 60_000;

  /** Reports of one runner are asked for this far apart at least (ms): each has a price. */
  private static final long REPORT_PERIOD_MILLIS = 400;

  /**
   * What a held runner holds is worked out again this often although no order, reply or report
   * changed it (ms): the rest of it, queue and free places, changes slowly.
   */
  private static final long TELL_MILLIS = 100;

  /**
   * A host that waits is told again after this time what a runner holds although nothing changed
   * (ms): a datagram may be lost, and a load takes 250 ms and more.
   */
  private static final long ANSWER_MILLIS = 400;

  private static final int TOKEN_TAG = 1_024;

  private final HostSettings settings;
  private final Members<HostState> members;
  private final FleetShape shape;
  private final HolderChoice choice;
  private final LeaseGranter granter;
  private final Holdings holdings;
  private final FleetLoad loads;
  private final RunnerOrders orders;
  private final LoadGuard loadGuard;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final Consumer<Runnable> decisions;
  private final LongSupplier clock;
  private final LongSupplier timeOfDay;
  private final ToIntFunction<String> newestVersion;
  private final Runnable changed;
  private final EventLog log;
  private final long startedMillis;

  /**
   * The runners that this host orders or tries to, by the id that they answer to: the right to
   * order one outlives its process, or two hosts would order it within the time that must lie
   * between.
   */
  private final Map<String, Held> held = new HashMap<>();

  /** When this host first saw each runner. */
  private final Map<String, Long> seenMillis = new HashMap<>();

  /** When each runner was last known; entries also vanish while the store is away. */
  private final Map<String, Long> presentMillis = new HashMap<>();

  /** The host that last told that it orders the runner at an address. */
  private final Map<String, String> addressHolders = new HashMap<>();

  /** The largest number that orders to the runner at an address were seen to bear. */
  private final Map<String, Long> addressTokens = new HashMap<>();

  private final Map<String, Map<String, RemoteDemand>> remoteDemands = new HashMap<>();
  private Map<String, List<Demand>> localDemands = Map.of();
  private long clockDifference = Long.MIN_VALUE;
  private boolean stopping;
  private int enginesKnown;
  private long claimRound;
  private @Nullable LoadEstimates estimates;

  private record RemoteDemand(Demand demand, long toldMillis) {}

  /** That a host was told what a runner holds after so many changes of it. */
  private record Answer(long changes, long atMillis) {}

  /** One runner that this host orders or tries to. */
  private static final class Held {
    RunnerEntry runner;
    final EngineSpec engine;
    final LeasedAuthority authority = new LeasedAuthority(LEASE_MILLIS);
    @Nullable RunnerResidency residency;
    long gainedMillis;
    long orderFromMillis;
    long token;
    boolean reporting;
    long reportDueMillis;
    long tellDueMillis;

    /** Counts the changes of what the runner holds. */
    long changes;

    /** What each host that waits for the runner was answered last, by its IP number. */
    final Map<String, Answer> answers = new HashMap<>();

    /** When the lease was last known to be held. */
    long heldMillis = Long.MIN_VALUE / 2;

    /** Hosts that ran before the runner appeared and never granted its lease to anybody else. */
    final Set<String> neverElsewhere = new HashSet<>();

    /** When this host first saw the runner. */
    final long seenMillis;

    Held(RunnerEntry runner, EngineSpec engine, long seenMillis) {
      this.runner = runner;
      this.engine = engine;
      this.seenMillis = seenMillis;
    }
  }

  /**
   * Creates a service.
   *
   * @param incarnation which process of this host this is, as the others are told
   * @param startedMillis when this process began: no order of an earlier process of this host is
   *     younger
   * @param datagrams begins a datagram of this host
   * @param sender sends bytes to an IP number
   * @param timeOfDay tells the time of day (ms)
   * @param newestVersion the newest published version of an adapter; 0 if none was published
   * @param changed told when what this host tells of its runners has changed
   */
  public HolderService(
      HostSettings settings,
      long incarnation,
      long startedMillis,
      Members<HostState> members,
      FleetShape shape,
      Holdings holdings,
      FleetLoad loads,
      RunnerOrders orders,
      LoadGuard loadGuard,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender,
      Consumer<Runnable> decisions,
      LongSupplier clock,
      LongSupplier timeOfDay,
      ToIntFunction<String> newestVersion,
      Runnable changed,
      EventLog log) {
    this.settings = settings;
    this.members = members;
    this.shape = shape;
    this.choice = new HolderChoice(settings, incarnation, members, shape);
    this.holdings = holdings;
    this.loads = loads;
    this.orders = orders;
    this.loadGuard = loadGuard;
    this.datagrams = datagrams;
    this.sender = sender;
    this.decisions = decisions;
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.newestVersion = newestVersion;
    this.changed = changed;
    this.log = log;
    this.startedMillis = startedMillis;
    // On the deployment's first start nothing was granted before that could be forgotten.
    long granterStart = settings.firstStart() ? startedMillis - LEASE_MILLIS : startedMillis;
    this.granter = new LeaseGranter(granterStart, LEASE_MILLIS);
  }

  /** Does what is due: claims, renewals, reports and orders. */
  public void tick(Map<RunnerEntry, EngineSpec> runners, long nowMillis) {
    watchClocks();
    if (stopping) {
      return;
    }
    enginesKnown = runners.size();
    boolean mayClaim = mayClaim(nowMillis);
    Set<String> present = new HashSet<>();
    runners.forEach(
        (runner, engine) -> {
          present.add(runner.instance());
          presentMillis.put(runner.instance(), nowMillis);
          holdings.find(runner.id()).ifPresent(holding -> noteHolder(runner, holding));
          long seen = seenMillis.computeIfAbsent(runner.instance(), id -> nowMillis);
          Held entry = held.get(runner.instance());
          if (entry != null) {
            update(entry, runner);
          } else if (mayClaim && shouldClaim(runner, nowMillis)) {
            held.put(runner.instance(), new Held(runner, engine, seen));
          }
        });
    held.keySet().retainAll(present);
    forgetGone(nowMillis);
    claim(nowMillis);
    for (Held entry : List.copyOf(held.values())) {
      advance(entry, nowMillis);
    }
  }

  private void noteHolder(RunnerEntry runner, Holdings.Holding holding) {
    addressHolders.put(runner.address(), holding.host());
    addressTokens.merge(runner.address(), holding.token(), Math::max);
  }

  /** Takes in a runner's latest entry; after its restart nothing is known of what it holds. */
  private void update(Held entry, RunnerEntry runner) {
    boolean restarted = !entry.runner.incarnation().equals(runner.incarnation());
    entry.runner = runner;
    if (restarted) {
      log.info("runner-restarted", "runner", runner.instance(), "held", entry.residency != null);
      entry.reporting = false;
      entry.residency = entry.residency == null ? null : newResidency(entry);
    }
  }

  /** Returns what this host holds of a runner's present life; null if it does not hold it. */
  private @Nullable Held heldLife(String runnerKey) {
    for (Held entry : held.values()) {
      if (entry.runner.id().equals(runnerKey)) {
        return entry;
      }
    }
    return null;
  }

  private void forgetGone(long nowMillis) {
    boolean any = presentMillis.values().removeIf(at -> nowMillis - at > RETAIN_MILLIS);
    if (any) {
      seenMillis.keySet().retainAll(presentMillis.keySet());
      granter.retain(presentMillis.keySet());
    }
  }

  /** Sets what this host's own requests wait for, by runner, and orders at once. */
  public void localDemands(Map<String, List<Demand>> demands, long nowMillis) {
    localDemands = demands;
    demands.keySet().forEach(runner -> pump(runner, nowMillis));
  }

  /** Takes in what another host's requests wait for. */
  public void remoteDemand(String host, String runner, Demand demand, long nowMillis) {
    RemoteDemand before =
        remoteDemands
            .computeIfAbsent(runner, id -> new HashMap<>())
            .put(host + " " + demand.target(), new RemoteDemand(demand, nowMillis));
    // Repeated ones are looked at with the next tick: at 70 hosts they come 300 times a second.
    if (before == null || nowMillis - before.toldMillis > DEMAND_MILLIS) {
      pump(runner, nowMillis);
    }
  }

  /**
   * Tells a host what runners hold that it waits for.
   *
   * <p>Through delegates it would learn when an adapter comes 0.2 s later on average, which is most
   * of the time that a load takes.
   */
  public void answerDemands(String ip, Set<String> runners, long nowMillis) {
    Digest.Builder digest = Digest.newBuilder();
    for (String runner : runners) {
      Held entry = heldLife(runner);
      if (entry != null && entry.residency != null && answerIsDue(entry, ip, nowMillis)) {
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
      sender.accept(ip, datagrams.get().setDigest(digest).build().toByteArray());
    }
  }

  private static boolean answerIsDue(Held entry, String ip, long nowMillis) {
    Answer last = entry.answers.get(ip);
    boolean due =
        last == null || last.changes != entry.changes || nowMillis - last.atMillis >= ANSWER_MILLIS;
    if (due) {
      entry.answers.put(ip, new Answer(entry.changes, nowMillis));
    }
    return due;
  }

  /** Records that a runner refused a request for an adapter that it should have. */
  public void missing(String runner, String target, long nowMillis) {
    Held entry = heldLife(runner);
    if (entry != null && entry.residency != null) {
      entry.residency.missing(target, nowMillis);
      tell(entry, nowMillis);
    }
  }

  /** Answers another host's claim. */
  public void claimed(String host, String ip, LeaseClaim claim, long nowMillis) {
    LeaseGrant.Builder grant =
        LeaseGrant.newBuilder()
            .setClaimSentMs(claim.getSentMs())
            .setUptimeMs(nowMillis - startedMillis)
            .setFirstStart(settings.firstStart());
    if (!stopping) {
      for (String runner : claim.getRunnersList()) {
        if (granter.grant(runner, host, claim.getDurationMs(), nowMillis)) {
          grant.addGranted(runner);
          if (granter.grantedOnlyTo(runner, host)) {
            grant.addOnlyEver(runner);
          }
        }
      }
    }
    if (grant.getGrantedCount() > 0) {
      sender.accept(ip, datagrams.get().setGrant(grant).build().toByteArray());
    }
  }

  /** Takes in another host's grant. */
  public void granted(String host, LeaseGrant grant, long nowMillis) {
    for (String runner : grant.getGrantedList()) {
      Held entry = held.get(runner);
      if (entry != null) {
        long start = nowMillis - grant.getUptimeMs();
        boolean sawAll = sawAllLeases(start, grant.getFirstStart(), entry);
        if (sawAll && grant.getOnlyEverList().contains(runner)) {
          entry.neverElsewhere.add(host);
        } else {
          entry.neverElsewhere.remove(host);
        }
        entry.authority.granted(host, grant.getClaimSentMs(), nowMillis);
      }
    }
  }

  /** Takes in that another host gave its leases up. */
  public void released(String host, LeaseRelease release) {
    release.getRunnersList().forEach(runner -> granter.release(runner, host));
  }

  /** Gives all leases up and orders no more. */
  public void stop() {
    stopping = true;
    release(held.keySet(), clock.getAsLong());
    held.clear();
  }

  /** Returns whether this host orders runners or tries to. */
  public boolean isActive() {
    return !held.isEmpty();
  }

  /** Returns the runners that this host orders now. */
  public Set<String> ordered(long nowMillis) {
    return runners(entry -> mayOrder(entry, nowMillis));
  }

  /** Returns the runners of which this host tells the others what they hold. */
  public Set<String> told(long nowMillis) {
    return runners(entry -> mayTell(entry, nowMillis));
  }

  private Set<String> runners(Predicate<Held> wanted) {
    Set<String> runners = new HashSet<>();
    for (Held entry : held.values()) {
      if (wanted.test(entry)) {
        runners.add(entry.runner.id());
      }
    }
    return runners;
  }

  /**
   * Returns whether this host speaks for a runner: it orders it, or will once older orders cannot
   * be on their way any more.
   *
   * <p>Just after all hosts started, two that know few others can each believe in a lease. One that
   * spoke at once and then lost it was taken for the holder ever after, as its token was larger:
   * adapters waited 0.3 s and more for their load. No two leases last longer than one.
   */
  private boolean mayTell(Held entry, long nowMillis) {
    boolean lasting = nowMillis - entry.gainedMillis >= LEASE_MILLIS;
    return entry.residency != null
        && nowMillis - entry.heldMillis < LEASE_MILLIS
        && (lasting || nowMillis >= entry.orderFromMillis);
  }

  private boolean mayOrder(Held entry, long nowMillis) {
    return entry.residency != null
        && nowMillis - entry.heldMillis < LEASE_MILLIS
        && entry.authority.rights(nowMillis + LEASE_MARGIN_MILLIS).held()
        && nowMillis >= entry.orderFromMillis;
  }

  private void watchClocks() {
    long difference = timeOfDay.getAsLong() - clock.getAsLong();
    boolean suspended =
        clockDifference != Long.MIN_VALUE && difference - clockDifference > SUSPENSION_MILLIS;
    clockDifference = difference;
    if (suspended) {
      log.warning("leases-given-up", "why", "the host was suspended or its clock stepped");
      held.clear();
    }
  }

  /** Returns whether this host knows the fleet well enough to order any runner, and is to. */
  private boolean mayClaim(long nowMillis) {
    if (nowMillis - startedMillis < SETTLE_MILLIS || (shape.isLarge() && !shape.isDelegate())) {
      return false;
    }
    return !settings.expectsOtherHosts() || !members.alive(nowMillis).isEmpty();
  }

  private boolean shouldClaim(RunnerEntry runner, long nowMillis) {
    Optional<Holdings.Holding> holding = holdings.find(runner.id());
    if (holding.isPresent()
        && members.isSound(holding.get().host(), nowMillis)
        && nowMillis - holding.get().toldMillis() < HOLDER_SILENT_MILLIS) {
      return false;
    }
    return choice.isThisHost(runner, nowMillis);
  }

  private void claim(long nowMillis) {
    Set<String> electorate = members.electorate(nowMillis);
    boolean due = false;
    for (Held entry : held.values()) {
      entry.authority.granters(electorate, nowMillis);
      due |= entry.authority.claimDue(nowMillis);
    }
    if (!due) {
      return;
    }
    // All in one datagram a host: six runners claimed one by one come to 2,300 datagrams a second
    // in a fleet of 66, answers included, and holders lost their leases there.
    LeaseClaim.Builder claim =
        LeaseClaim.newBuilder().setSentMs(nowMillis).setDurationMs((int) LEASE_MILLIS);
    claim.addAllRunners(held.keySet());
    byte[] bytes = datagrams.get().setClaim(claim).build().toByteArray();
    toClaimFrom(electorate.size(), nowMillis).forEach(member -> sender.accept(member.ip(), bytes));
    for (Held entry : held.values()) {
      entry.authority.roundSent(nowMillis);
      if (granter.grant(entry.runner.instance(), settings.host(), LEASE_MILLIS, nowMillis)) {
        entry.authority.granted(settings.host(), nowMillis, nowMillis);
      }
    }
  }

  /** Returns the hosts to ask: all, unless the last round renewed all leases of a large fleet. */
  private List<Member<HostState>> toClaimFrom(int electorate, long nowMillis) {
    List<Member<HostState>> reachable = members.reachable(nowMillis);
    boolean renewed =
        held.values().stream().allMatch(entry -> entry.authority.renewedByLastRound());
    return shape.isLarge() && renewed
        ? RenewalRound.asked(reachable, electorate, claimRound++)
        : reachable;
  }

  private void advance(Held entry, long nowMillis) {
    var rights = entry.authority.rights(nowMillis);
    if (!rights.held()) {
      withoutLease(entry, nowMillis);
      return;
    }
    // Nobody else can have ordered while the gap was shorter than what a new holder waits.
    boolean uninterrupted =
        entry.residency != null && nowMillis - entry.heldMillis < settings.leaseMillis();
    if (!uninterrupted) {
      gained(entry, nowMillis);
    }
    entry.heldMillis = nowMillis;
    RunnerResidency residency = entry.residency;
    boolean reportWanted =
        residency != null && residency.reportDue(nowMillis) && nowMillis >= entry.reportDueMillis;
    // Also while orders must wait: what the runner holds serves requests meanwhile.
    if (reportWanted && !entry.reporting) {
      report(entry, nowMillis);
    }
    pump(entry.runner.id(), nowMillis);
    if (nowMillis >= entry.tellDueMillis) {
      tell(entry, nowMillis);
    }
  }

  private void withoutLease(Held entry, long nowMillis) {
    boolean lately = nowMillis - entry.heldMillis < settings.leaseMillis();
    if (!lately && entry.residency != null) {
      log.warning("runner-lost", "runner", entry.runner.id());
      held.remove(entry.runner.instance());
    } else if (!lately && !choice.isThisHost(entry.runner, nowMillis)) {
      // Hosts that granted the claim would refuse the right host for the rest of the lease.
      held.remove(entry.runner.instance());
      release(Set.of(entry.runner.instance()), nowMillis);
    }
  }

  private void release(Set<String> runners, long nowMillis) {
    if (runners.isEmpty()) {
      return;
    }
    LeaseRelease.Builder release = LeaseRelease.newBuilder().addAllRunners(runners);
    byte[] bytes = datagrams.get().setRelease(release).build().toByteArray();
    members.alive(nowMillis).forEach(member -> sender.accept(member.ip(), bytes));
    runners.forEach(runner -> granter.release(runner, settings.host()));
  }

  private void gained(Held entry, long nowMillis) {
    entry.residency = newResidency(entry);
    entry.gainedMillis = nowMillis;
    // Unless there was none, the holder before may have ordered until now.
    entry.orderFromMillis =
        isFirstHolder(entry, nowMillis)
            ? nowMillis
            : nowMillis + settings.leaseMillis() + ORDER_FLIGHT_MILLIS;
    long tag = Math.floorMod(settings.host().hashCode(), TOKEN_TAG);
    long after = addressTokens.getOrDefault(entry.runner.address(), 0L) / TOKEN_TAG + 1;
    entry.token = Math.max(timeOfDay.getAsLong(), after) * TOKEN_TAG + tag;
    log.info(
        "runner-held",
        "runner",
        entry.runner.id(),
        "orders_in_ms",
        Math.max(0, entry.orderFromMillis - nowMillis),
        "token",
        entry.token);
  }

  private RunnerResidency newResidency(Held entry) {
    ResidencySettings times = ResidencySettings.forFleet(enginesKnown, shape.isLarge());
    LoadEstimates learnt = estimates;
    if (learnt == null) {
      learnt = LoadEstimates.of(times, enginesKnown);
      estimates = learnt;
    }
    return new RunnerResidency(entry.engine, times, learnt);
  }

  /**
   * Returns whether no other host can have ordered a runner: a majority of the hosts has seen each
   * lease of it since it appeared and never granted it to anybody else, and any other majority
   * shares a host with this one.
   *
   * <p>A runner that restarted has another id, but may be taken for the one before it: if another
   * host ordered that one, this counts as a change of the holder.
   */
  private boolean isFirstHolder(Held entry, long nowMillis) {
    String before = addressHolders.getOrDefault(entry.runner.address(), settings.host());
    if (!before.equals(settings.host())) {
      return false;
    }
    Set<String> electorate = members.electorate(nowMillis);
    long count = electorate.stream().filter(entry.neverElsewhere::contains).count();
    boolean self =
        sawAllLeases(startedMillis, settings.firstStart(), entry)
            && granter.grantedOnlyTo(entry.runner.instance(), settings.host());
    return 2 * (count + (self ? 1 : 0)) > electorate.size();
  }

  /**
   * Returns whether a granter has seen every lease of a runner: it ran before the runner appeared,
   * or is of the deployment's first start, before which there was none.
   */
  private static boolean sawAllLeases(long granterStart, boolean firstStart, Held entry) {
    return firstStart || granterStart + NEW_RUNNER_MARGIN_MILLIS < entry.seenMillis;
  }

  private void report(Held entry, long nowMillis) {
    entry.reporting = true;
    entry.reportDueMillis = nowMillis + REPORT_PERIOD_MILLIS;
    RunnerEntry asked = entry.runner;
    orders.report(
        asked,
        ORDER_TIMEOUT_MILLIS,
        reply -> decisions.accept(() -> reported(entry, asked, reply)));
  }

  private void reported(Held entry, RunnerEntry asked, ReportReply reply) {
    if (!asked.incarnation().equals(entry.runner.incarnation())) {
      return;
    }
    entry.reporting = false;
    RunnerResidency residency = entry.residency;
    if (residency == null || held.get(entry.runner.instance()) != entry) {
      return;
    }
    long now = clock.getAsLong();
    if (reply instanceof ReportReply.Missing missing) {
      log.info("report-missing", "runner", entry.runner.id(), "why", missing.why());
      return;
    }
    residency.adopt(((ReportReply.Given) reply).report(), now);
    pump(entry.runner.id(), now);
    tell(entry, now);
  }

  private void pump(String runnerId, long nowMillis) {
    Held entry = heldLife(runnerId);
    if (entry == null || !mayOrder(entry, nowMillis)) {
      return;
    }
    RunnerResidency residency = entry.residency;
    if (residency == null) {
      return;
    }
    int transit = holdings.transitElsewhere(runnerId, nowMillis);
    Optional<Order> next =
        residency.next(
            demands(runnerId, nowMillis),
            target -> loads.uses(runnerId, target, nowMillis),
            newestVersion,
            transit,
            nowMillis);
    next.ifPresent(order -> send(entry, residency, order, transit, nowMillis));
  }

  private Collection<Demand> demands(String runnerId, long nowMillis) {
    List<Demand> demands = new ArrayList<>(localDemands.getOrDefault(runnerId, List.of()));
    Map<String, RemoteDemand> remote = remoteDemands.getOrDefault(runnerId, Map.of());
    remote.values().removeIf(demand -> nowMillis - demand.toldMillis > DEMAND_MILLIS);
    remote.values().forEach(demand -> demands.add(demand.demand));
    demands.removeIf(demand -> !mayLoad(demand, nowMillis));
    return demands;
  }

  private boolean mayLoad(Demand demand, long nowMillis) {
    String target = demand.target();
    return loadGuard.mayLoad(target, newestVersion.applyAsInt(target), nowMillis);
  }

  private void send(
      Held entry, RunnerResidency residency, Order order, int transit, long nowMillis) {
    long sequence = residency.sequence();
    residency.sent(order, nowMillis);
    if (order.operation() == Order.Operation.LOAD) {
      loadGuard.ordered(order.target(), order.version(), entry.runner.idHash(), nowMillis);
    }
    log.info(
        "order",
        "runner",
        entry.runner.id(),
        "operation",
        order.operation(),
        "target",
        order.target(),
        "version",
        order.version(),
        "expect",
        sequence);
    RunnerEntry runner = entry.runner;
    orders.order(
        runner,
        order,
        sequence,
        settings.host(),
        entry.token,
        ORDER_TIMEOUT_MILLIS,
        reply -> decisions.accept(() -> replied(entry, runner, residency, order, reply, transit)));
    tell(entry, nowMillis);
  }

  private void replied(
      Held entry,
      RunnerEntry ordered,
      RunnerResidency residency,
      Order order,
      OrderReply reply,
      int transit) {
    long now = clock.getAsLong();
    if (reply == OrderReply.UNKNOWN && order.operation() == Order.Operation.LOAD) {
      loadGuard.unanswered(order.target(), order.version(), ordered.idHash(), now);
    }
    residency.replied(order, reply, transit, now);
    if (reply != OrderReply.ACCEPTED && reply != OrderReply.DONE) {
      log.warning(
          "order-failed",
          "runner",
          entry.runner.id(),
          "operation",
          order.operation(),
          "target",
          order.target(),
          "reply",
          reply);
    }
    if (held.get(entry.runner.instance()) == entry && entry.residency == residency) {
      pump(entry.runner.id(), now);
      tell(entry, now);
    }
  }

  private void tell(Held entry, long nowMillis) {
    RunnerResidency residency = entry.residency;
    if (residency == null || residency.sequence() < 0 || !mayTell(entry, nowMillis)) {
      return;
    }
    entry.tellDueMillis = nowMillis + TELL_MILLIS;
    String runner = entry.runner.id();
    Map<String, HeldItem> items = new HashMap<>();
    residency.held().forEach(item -> items.put(item.target(), item));
    int free = residency.freePlaces(target -> loads.uses(runner, target, nowMillis));
    Optional<Holdings.Holding> before = holdings.find(runner);
    holdings.told(
        runner,
        new Holdings.Holding(
            settings.host(),
            entry.token,
            nowMillis,
            items,
            residency.models(),
            free,
            residency.bringMillis(holdings.transitElsewhere(runner, nowMillis)),
            residency.queueMillis(nowMillis),
            entry.orderFromMillis,
            estimates == null ? 0 : estimates.warm().size()));
    boolean same =
        before.isPresent()
            && before.get().items().equals(items)
            && before.get().models().equals(residency.models());
    if (!same) {
      entry.changes++;
      changed.run();
    }
  }
}
