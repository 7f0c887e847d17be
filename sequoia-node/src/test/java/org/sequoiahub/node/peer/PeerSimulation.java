package org.sequoiahub.node.peer;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.allowance.AllowanceLimiter;
import org.sequoiahub.core.allowance.AllowanceSettings;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.MemberSettings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.quarantine.QuarantineSettings;
import org.sequoiahub.core.quarantine.RequestFingerprint;
import org.sequoiahub.core.quarantine.RequestQuarantine;
import org.sequoiahub.core.quarantine.RunnerTermination;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.SimulatedHosts;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.usersplatform.HostSettings;

/** Simulates, in virtual time, hosts that exchange states over a network with delay and loss. */
final class PeerSimulation {

  /** With the window of the users' deployments. */
  static final AllowanceSettings ALLOWANCES = new AllowanceSettings(8_000);

  private static final int TICK_MILLIS = 10;
  private static final int MAX_DELAY_MILLIS = 5;

  /** By default one datagram in this many is lost. */
  private static final int DEFAULT_LOSS_ONE_IN = 100;

  private int lossOneIn = DEFAULT_LOSS_ONE_IN;
  private int lateOneIn = Integer.MAX_VALUE;
  private int maxLatenessMillis = 1;

  private final Function<Host, Records> recordsOf;
  private final Random random;
  private final int domains;
  private final int size;
  private final List<@Nullable Host> hosts = new ArrayList<>();
  private final PriorityQueue<Delivery> inTransit = new PriorityQueue<>();

  /** The entries that all hosts know, by the key of the runner's incarnation. */
  final Map<String, RunnerEntry> runnerEntries = new HashMap<>();

  private BiPredicate<Integer, Integer> cut = (from, to) -> false;
  private long now = 1_000_000;
  private long deliveries;
  private long bytes;

  /** What each host handled so far, by its number. */
  private final Map<Integer, Work> work = new HashMap<>();

  private final Map<Integer, Long> frozenUntil = new HashMap<>();

  private record Delivery(long atMillis, long number, int from, int to, byte[] datagram)
      implements Comparable<Delivery> {
    @Override
    public int compareTo(Delivery other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /**
   * What a host handles.
   *
   * @param datagrams the datagrams that it received or sent
   * @param placementEntries the loads and holdings of runners in the digests that it received
   */
  record Work(long datagrams, long placementEntries) {
    static final Work NONE = new Work(0, 0);

    Work plus(Work other) {
      return new Work(datagrams + other.datagrams, placementEntries + other.placementEntries);
    }

    Work minus(Work other) {
      return new Work(datagrams - other.datagrams, placementEntries - other.placementEntries);
    }
  }

  /** A host's view of the store's records. */
  interface Records {
    StorePosition operatorPosition();

    StorePosition runnersPosition();

    /** Identifies the records that the host keeps although the restored store lacks them. */
    default int keptChecksum() {
      return 0;
    }

    /** Applies another host's state. */
    void stateReceived(String from, HostState state);

    /** Records what another host stated of itself. */
    default void readingReceived(String from, HostState state) {}

    /** Applies a digest whose reports have been applied. */
    default void digestReceived(String from, Digest digest) {}

    /** Adds how long ago the store answered the host. */
    default void addReading(HostState.Builder state) {}

    /** Adds what a delegate states to the hosts of its group. */
    default void addStatement(Digest.Builder digest) {}

    /** Called when a datagram of another host was received. */
    default void datagramReceived(String from) {}

    void tick(long nowMillis);
  }

  /** Tracks revisions only: a host that is behind another has its records at once. */
  private static final class RevisionsOnly implements Records {
    private final Host host;

    RevisionsOnly(Host host) {
      this.host = host;
    }

    @Override
    public StorePosition operatorPosition() {
      return new StorePosition(0, host.configRevision);
    }

    @Override
    public StorePosition runnersPosition() {
      return new StorePosition(0, 100_000);
    }

    @Override
    public void stateReceived(String from, HostState state) {
      host.configRevision = Math.max(host.configRevision, state.getConfigRevision());
    }

    @Override
    public void tick(long nowMillis) {
      // Nothing is pulled.
    }
  }

  /** One process of a host. */
  final class Host {
    final int number;
    final Members<HostState> members;
    final FleetLoad loads = new FleetLoad();
    final Holdings holdings = new Holdings();
    final FleetSpending spending = new FleetSpending(ALLOWANCES.windowMillis());
    final AllowanceLimiter allowances =
        new AllowanceLimiter(spending, ALLOWANCES, size > 1, random::nextDouble, now);
    final Set<String> words = new HashSet<>();
    final FleetTopology topology;
    final PeerHeartbeats heartbeats;
    final RequestQuarantine quarantine = new RequestQuarantine(QuarantineSettings.DEFAULT);
    final RunnerTerminationExchange terminations;
    final Records records;
    final RunnerStates runnerStates;
    final PermitExchange permits;

    /** Called with the runners for which the host received permits. */
    Consumer<Set<String>> permitsListener = runners -> {};

    long configRevision = 1_000;

    private Host(int number) {
      this.number = number;
      this.members = new Members<>("host-" + number, MemberSettings.DEFAULT);
      HostSettings settings = settings(number, hosts.size() < size);
      this.topology = new FleetTopology(settings, members);
      EventLog log = new EventLog("test", "host-" + number);
      this.runnerStates =
          new RunnerStates(
              settings,
              now,
              now,
              key -> Optional.ofNullable(runnerEntries.get(key)),
              this::changed,
              new MetricRegistry(),
              log);
      this.heartbeats =
          new PeerHeartbeats(
              settings,
              now,
              members,
              topology,
              loads,
              holdings,
              spending,
              runnerStates,
              (ip, datagram) -> send(number, ip, datagram),
              this::state,
              this::stateReceived,
              this::reportReceived,
              this::addReadStatement,
              random,
              log);
      FleetHistory history = new FleetHistory(settings, now, members);
      this.permits =
          new PermitExchange(
              "host-" + number,
              now,
              members,
              topology,
              runnerStates,
              history::sharingHostCount,
              heartbeats::datagram,
              (ip, datagram) -> send(number, ip, datagram),
              heartbeats::changed,
              runners -> permitsListener.accept(runners));
      this.terminations =
          new RunnerTerminationExchange(
              quarantine,
              members,
              topology,
              heartbeats::datagram,
              (ip, datagram) -> send(number, ip, datagram),
              random);
      this.records = recordsOf.apply(this);
    }

    private void changed() {
      heartbeats.changed();
    }

    private HostState.Builder state(boolean withHoldings, boolean complete) {
      HostState.Builder state =
          HostState.newBuilder()
              .setIp("ip-" + number)
              .setFailureDomain("z" + number % domains)
              .setProcessor(processor(number))
              .setCallerAddress("10.100.100.100:8149")
              .setAsksCommittee(true)
              .setReady(true)
              .setFleetSize(1 + members.reachable(now).size())
              .setKeptRecords(records.keptChecksum());
      StateCodec.setPositions(state, records.operatorPosition(), records.runnersPosition());
      records.addReading(state);
      StateCodec.addLoads(state, loads.own());
      if (withHoldings) {
        holdings.all().entrySet().stream()
            .filter(entry -> entry.getValue().host().equals("host-" + number))
            .forEach(
                entry ->
                    state.addHoldings(
                        StateCodec.encodeHolding(entry.getKey(), entry.getValue(), now)));
      }
      return state.setLoadsComplete(true);
    }

    private void stateReceived(String from, HostState state) {
      loads.update(from, StateCodec.decodeLoads(state.getLoadsList()), true, now);
      StateCodec.decodeHoldings(from, state, now).forEach(holdings::update);
      records.readingReceived(from, state);
      reportReceived(from, state);
    }

    private void addReadStatement(Digest.Builder digest, long nowMillis) {
      records.addStatement(digest);
    }

    /** Terminates a runner that processes a request of this host, and informs the other hosts. */
    void runnerTerminated(long request, long runner, long startedMillis, long endedMillis) {
      RunnerTermination end =
          new RunnerTermination(request, runner, startedMillis, endedMillis, false, true);
      if (quarantine.recordTermination(end, now)) {
        terminations.onTermination(end, now);
      }
    }

    /** Terminates a runner that processes a request with these parts, and informs the others. */
    void runnerTerminatedByPart(
        long request, long runner, long startedMillis, long endedMillis, List<Long> parts) {
      RunnerTermination end =
          new RunnerTermination(request, runner, startedMillis, endedMillis, false, false);
      List<RunnerTermination> ends = new ArrayList<>(List.of(end));
      for (int i = 0; i < parts.size(); i++) {
        ends.add(end.ofPart(parts.get(i), i + 1, quarantine.isKnownGood(parts.get(i), now)));
      }
      for (RunnerTermination recorded : ends) {
        if (quarantine.recordTermination(recorded, now)) {
          terminations.onTermination(recorded, now);
        }
      }
    }

    boolean isPartQuarantined(long part) {
      return quarantine.activePartQuarantine(List.of(part), now).isPresent();
    }

    /** Records a successful response to a request of this host, and informs the other hosts. */
    void requestSucceeded(long request) {
      quarantine.recordSuccess(RequestFingerprint.ofValue(request), now);
      if (quarantine.clear(request, now)) {
        terminations.onCleared(request, now, now);
      }
    }

    boolean isQuarantined(long request) {
      return quarantine.activeQuarantine(request, now).isPresent();
    }

    private void reportReceived(String from, HostState state) {
      records.stateReceived(from, state);
    }
  }

  PeerSimulation(long seed, int count, int domains) {
    this(seed, count, domains, RevisionsOnly::new);
  }

  /**
   * Creates a fleet.
   *
   * @param recordsOf creates the view that each process has of the store's records
   */
  PeerSimulation(long seed, int count, int domains, Function<Host, Records> recordsOf) {
    this.recordsOf = recordsOf;
    this.size = count;
    this.random = new Random(seed);
    this.domains = domains;
    for (int host = 0; host < count; host++) {
      hosts.add(new Host(host));
    }
  }

  /** The first host of each domain and two more hosts are stronger than the rest. */
  private static int processor(int number) {
    return number < 6 ? 150 : 36;
  }

  private HostSettings settings(int number, boolean firstStart) {
    return SimulatedHosts.settings(
        "host-" + number,
        "z" + number % domains,
        "ip-" + number,
        List.of("ip-0", "ip-1", "ip-2"),
        firstStart,
        processor(number));
  }

  long now() {
    return now;
  }

  /** Returns the bytes sent so far. */
  long bytes() {
    return bytes;
  }

  /** Returns what a host handled so far. */
  Work work(int host) {
    return work.getOrDefault(host, Work.NONE);
  }

  /** Returns the running hosts. */
  List<Host> running() {
    List<Host> running = new ArrayList<>();
    for (Host host : hosts) {
      if (host != null) {
        running.add(host);
      }
    }
    return running;
  }

  void kill(int host) {
    hosts.set(host, null);
  }

  void start(int host) {
    hosts.set(host, new Host(host));
  }

  /** Suspends a host's process until the given time; datagrams for it are delivered then. */
  void freeze(int host, long untilMillis) {
    frozenUntil.put(host, untilMillis);
  }

  boolean isFrozen(int host) {
    return frozenUntil.getOrDefault(host, 0L) > now;
  }

  /** Drops all datagrams for which {@code lost} holds, until the next call. */
  void cut(BiPredicate<Integer, Integer> lost) {
    cut = lost;
  }

  /** From now on one datagram in the given number is lost. */
  void loseOneIn(int datagrams) {
    lossOneIn = datagrams;
  }

  /** From now on one datagram in the given number is delayed by up to {@code maxMillis} more. */
  void delayOneIn(int datagrams, int maxMillis) {
    lateOneIn = datagrams;
    maxLatenessMillis = maxMillis;
  }

  /** Returns the host with the given number, if it is running. */
  @Nullable Host host(int number) {
    return hosts.get(number);
  }

  int size() {
    return size;
  }

  /** Returns whether two hosts are running and datagrams of the first reach the second. */
  boolean reaches(int from, int to) {
    return hosts.get(from) != null && hosts.get(to) != null && !cut.test(from, to);
  }

  void advance(long millis) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      deliverDue();
      tickHosts();
    }
  }

  /** Advances the time by 1 ms: datagrams are received when they arrive, not with the next tick. */
  void advanceOneMilli() {
    deliverDue();
    if (now % TICK_MILLIS == 0) {
      tickHosts();
    }
    now++;
  }

  private void deliverDue() {
    while (!inTransit.isEmpty() && inTransit.peek().atMillis <= now) {
      deliver(inTransit.poll());
    }
  }

  private void tickHosts() {
    for (Host host : running()) {
      if (isFrozen(host.number)) {
        continue;
      }
      host.heartbeats.tick(now);
      host.terminations.tick(now);
      host.members.removeExpired(now);
      host.allowances.assumeSilentSpending(now);
      host.records.tick(now);
      host.permits.tick(now);
    }
  }

  private void send(int from, String ip, byte[] datagram) {
    bytes += datagram.length;
    work.merge(from, new Work(1, 0), Work::plus);
    int to = Integer.parseInt(ip.substring("ip-".length()));
    boolean lost = cut.test(from, to) || random.nextInt(lossOneIn) == 0;
    if (to < hosts.size() && !lost) {
      long lateness =
          lateOneIn < Integer.MAX_VALUE && random.nextInt(lateOneIn) == 0
              ? random.nextInt(maxLatenessMillis)
              : 0;
      inTransit.add(
          new Delivery(
              now + 1 + random.nextInt(MAX_DELAY_MILLIS) + lateness,
              deliveries++,
              from,
              to,
              datagram));
    }
  }

  private void deliver(Delivery arrived) {
    Host to = hosts.get(arrived.to);
    if (to == null) {
      return;
    }
    if (isFrozen(arrived.to)) {
      long until = frozenUntil.getOrDefault(arrived.to, now);
      inTransit.add(new Delivery(until, deliveries++, arrived.from, arrived.to, arrived.datagram));
      return;
    }
    try {
      PeerDatagram datagram = PeerDatagram.parseFrom(arrived.datagram);
      String ip = "ip-" + arrived.from;
      int entries = datagram.getDigest().getLoadsCount() + datagram.getDigest().getHoldingsCount();
      work.merge(arrived.to, new Work(1, entries), Work::plus);
      to.records.datagramReceived(datagram.getHost());
      if (datagram.hasDigest()) {
        to.heartbeats.receivedDigest(ip, datagram, now);
        to.records.digestReceived(datagram.getHost(), datagram.getDigest());
      } else if (datagram.hasPermitRequest()) {
        to.permits.receivedRequest(
            datagram.getHost(), datagram.getIncarnation(), datagram.getPermitRequest(), now);
      } else if (datagram.hasPermitGrants()) {
        to.permits.receivedGrants(
            datagram.getHost(), datagram.getIncarnation(), datagram.getPermitGrants(), now);
      } else if (datagram.hasEnds()) {
        to.terminations.received(datagram.getHost(), ip, datagram.getEnds(), now);
      } else {
        to.heartbeats.received(ip, datagram, now);
        to.terminations.stateReceived(datagram.getHost(), datagram.getIncarnation(), ip, now);
      }
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }
}
