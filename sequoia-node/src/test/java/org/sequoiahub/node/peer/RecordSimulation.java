package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.sequoiahub.core.origin.ResumeDecision;
import org.sequoiahub.core.origin.ResumePolicy;
import org.sequoiahub.core.origin.ServiceVersions;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.node.store.StoreFollowers;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.StorePull;
import org.sequoiahub.schema.peer.StoreRecords;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.StoredItem;
import org.sequoiahub.usersplatform.standin.VirtualStore;

/**
 * Simulates, in virtual time, a fleet that follows a store: each host's real follower, registry and
 * exchange run on a simulated store and network with faults.
 */
final class RecordSimulation {

  static final int TICK_MILLIS = 10;

  /** The software version of the runners of the beginning. */
  static final String FIRST_VERSION = "v1";

  /** The service of all runners. */
  private static final String SERVICE = "plain";

  /** The propagation bound of a configuration in the users' deployments (ms). */
  static final long BOUND_MILLIS = 2_000;

  static final long DRAIN_MILLIS = 2_000;

  /** When {@link PeerSimulation} starts. */
  private static final long START_MILLIS = 1_000_000;

  private static final int MAX_DELAY_MILLIS = 4;
  private static final long RUNNER_HEARTBEAT_MILLIS = 1_200;
  private static final int RUNNERS = 4;

  /** The maximum time until a change that the store lost is written again (ms). */
  private static final int MAX_REWRITE_MILLIS = 3_000;

  final PeerSimulation peers;
  final VirtualStore store;
  private final Random random;
  private final Map<Integer, HostRecords> records = new HashMap<>();
  private final Map<Integer, Integer> starts = new HashMap<>();
  private final Map<String, String> softwareVersions = new HashMap<>();
  private BiPredicate<Integer, Integer> silent = (from, to) -> false;
  private final PriorityQueue<Delivery> inTransit = new PriorityQueue<>();
  private final Map<String, Rewrite> rewrites = new HashMap<>();
  private Consumer<String> writeListener = key -> {};

  /** Whether the delegates do not state as of when they know the records. */
  private boolean delegatesOfEarlierRelease;

  private long deliveries;
  private long sequence;
  private long heartbeatMillis;
  private long version;

  private record Delivery(long atMillis, long number, Runnable work)
      implements Comparable<Delivery> {
    @Override
    public int compareTo(Delivery other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** A change that the store lost and that is to be written again. */
  private record Rewrite(StoredItem item, long atMillis) {}

  /** The records of one process. */
  final class HostRecords implements PeerSimulation.Records {
    final PeerSimulation.Host host;
    final ServiceVersions serviceVersions;
    final RunnerRegistry runners;
    final StoreRegistry registry;
    final List<Long> versions = new ArrayList<>();
    private final RecordSync sync;
    private final DeflatedValues deflated = new DeflatedValues();
    private final List<Runnable> decisions = new ArrayList<>();
    private boolean ended;

    HostRecords(PeerSimulation.Host host) {
      this.host = host;
      final long startedMillis = peers == null ? START_MILLIS : now();
      EventLog log = new EventLog("test", "host-" + host.number);
      this.serviceVersions =
          peers == null ? ServiceVersions.ofNewFleet() : ServiceVersions.ofJoinedHost();
      this.runners = new RunnerRegistry(id -> false, serviceVersions);
      this.registry =
          new StoreRegistry(
              new RecordDecoder(KeyHasher.withRandomSecret(new SecureRandom())),
              runners,
              table -> versions.add(table.version()),
              () -> host.heartbeats.changed(),
              log);
      StoreFollowers followers =
          StoreFollowers.create(
              store.reader(host.number),
              BOUND_MILLIS,
              DRAIN_MILLIS,
              registry,
              this::decide,
              RecordSimulation.this::now,
              random::nextDouble,
              log);
      this.sync =
          new RecordSync(
              BOUND_MILLIS,
              startedMillis,
              host.topology,
              host.members,
              registry,
              followers.operators(),
              followers.runners(),
              new StoreReaders(
                  "host-" + host.number,
                  host.topology,
                  host.members,
                  registry,
                  followers.operators().timing(),
                  followers.runners().timing()),
              random::nextDouble,
              new RecordExchange(
                  (ip, pull, answer) -> pull(this, ip, pull, answer),
                  records -> decide(() -> sync().recordsReceived(records, peers.now())),
                  log),
              () -> host.heartbeats.changed(),
              log);
      records.put(host.number, this);
    }

    private RecordSync sync() {
      return sync;
    }

    /** Decides where a stream of unknown origin may go on. */
    ResumeDecision resume(long timeoutMillis, long arrivedMillis) {
      return new ResumePolicy(serviceVersions, sync, BOUND_MILLIS)
          .decide(
              Optional.empty(),
              SERVICE,
              runners.present(),
              timeoutMillis,
              arrivedMillis,
              peers.now());
    }

    /** Queues work for the decision thread; a frozen process runs it once it resumes. */
    private void decide(Runnable work) {
      decisions.add(work);
    }

    long versionInForce() {
      return versions.isEmpty() ? -1 : versions.get(versions.size() - 1);
    }

    /** Returns whether this process knows that a runner announced that it leaves. */
    boolean knowsLeaving(String runner) {
      return runners.find(runner).filter(RunnerEntry::leaving).isPresent();
    }

    /** Returns whether new requests may go to a runner. */
    boolean isUsable(String runner) {
      return runners.usable(peers.now()).stream().anyMatch(entry -> entry.id().equals(runner));
    }

    @Override
    public StorePosition operatorPosition() {
      return registry.newestOperatorPosition();
    }

    @Override
    public StorePosition runnersPosition() {
      return registry.newestRunnersPosition();
    }

    @Override
    public int keptChecksum() {
      return registry.keptChecksum();
    }

    @Override
    public void stateReceived(String from, HostState state) {
      sync.stateReceived(from, state, peers.now());
    }

    @Override
    public void readingReceived(String from, HostState state) {
      sync.readingReceived(from, state, peers.now());
    }

    @Override
    public void digestReceived(String from, Digest digest) {
      sync.digestReceived(from, digest, peers.now());
    }

    @Override
    public void addReading(HostState.Builder state) {
      sync.addReading(state, peers.now());
    }

    @Override
    public void addStatement(Digest.Builder digest) {
      if (!delegatesOfEarlierRelease) {
        sync.addStatement(digest, peers.now());
      }
    }

    @Override
    public void datagramReceived(String from) {
      sync.datagramReceived(from, peers.now());
    }

    @Override
    public void tick(long nowMillis) {
      if (ended) {
        return;
      }
      List<Runnable> due = List.copyOf(decisions);
      decisions.clear();
      due.forEach(Runnable::run);
      sync.tick(nowMillis);
    }
  }

  RecordSimulation(long seed, int hosts, int domains) {
    this.random = new Random(seed);
    this.store = new VirtualStore(seed, START_MILLIS);
    configure();
    runnerHeartbeats();
    this.peers = new PeerSimulation(seed, hosts, domains, HostRecords::new);
  }

  long now() {
    return peers.now();
  }

  HostRecords host(int number) {
    return requireNonNull(records.get(number), "no such host");
  }

  /** Writes the next configuration and returns its version. */
  long configure() {
    version++;
    store.putConfiguration(version, "/v" + version + "/");
    written(StoreKeys.CONFIGURATION);
    return version;
  }

  /** Writes a version of adapter {@code adapter} of model m. */
  void publish(String adapter, int published) {
    store.putVersion(adapter, published);
    written(versionKey(adapter));
  }

  static String versionKey(String adapter) {
    return StoreKeys.VERSION_PREFIX + "m." + adapter;
  }

  /** Notifies {@code listener} of the key of each write by an operator or a runner. */
  void onWrite(Consumer<String> listener) {
    writeListener = listener;
  }

  private void written(String key) {
    rewrites.remove(key);
    writeListener.accept(key);
  }

  /**
   * Restores the store from a copy of {@code ageMillis} ago. What it lost is written again, each
   * key on its own, unless a newer value is written first.
   */
  void restoreStore(long ageMillis) {
    for (StoredItem lost : store.restore(ageMillis)) {
      rewrites.putIfAbsent(
          lost.key(), new Rewrite(lost, now() + random.nextInt(MAX_REWRITE_MILLIS)));
    }
  }

  private void rewriteLost() {
    for (Rewrite rewrite : List.copyOf(rewrites.values())) {
      if (rewrite.atMillis <= now()) {
        store.rewrite(rewrite.item);
        written(rewrite.item.key());
      }
    }
  }

  long version() {
    return version;
  }

  /** From now on the delegates do not state as of when they know the records. */
  void useDelegatesOfEarlierRelease() {
    delegatesOfEarlierRelease = true;
  }

  void kill(int host) {
    host(host).ended = true;
    store.dropCalls(host);
    peers.kill(host);
  }

  void start(int host) {
    peers.start(host);
  }

  /** Drops all traffic between hosts for which {@code lost} holds, until the next call. */
  void cut(BiPredicate<Integer, Integer> lost) {
    peers.cut(lost);
  }

  /** Drops traffic on connections for which {@code lost} holds; datagrams are delivered. */
  void silenceConnections(BiPredicate<Integer, Integer> lost) {
    silent = lost;
  }

  void advance(long millis) {
    for (long end = now() + millis; now() < end; ) {
      step();
    }
  }

  void step() {
    if (now() - heartbeatMillis >= RUNNER_HEARTBEAT_MILLIS) {
      runnerHeartbeats();
    }
    rewriteLost();
    store.advance(now());
    while (!inTransit.isEmpty() && inTransit.peek().atMillis <= now()) {
      inTransit.poll().work.run();
    }
    peers.advance(TICK_MILLIS);
  }

  private void runnerHeartbeats() {
    heartbeatMillis = peers == null ? 0 : now();
    sequence++;
    for (int runner = 0; runner < RUNNERS; runner++) {
      String id = runnerId(runner);
      store.putRunner(id, versionOf(id), false, sequence);
      written(StoreKeys.RUNNER_PREFIX + id);
    }
  }

  private String versionOf(String runner) {
    return softwareVersions.getOrDefault(runner, FIRST_VERSION);
  }

  /** Replaces a runner by one whose software has a version. */
  void releaseRunner(String software) {
    release(random.nextInt(RUNNERS), software);
  }

  /** Replaces all runners by ones whose software has a version. */
  void releaseAll(String software) {
    for (int runner = 0; runner < RUNNERS; runner++) {
      release(runner, software);
    }
  }

  private void release(int runner, String software) {
    final String old = runnerId(runner);
    starts.merge(runner, 1, Integer::sum);
    String id = runnerId(runner);
    softwareVersions.put(id, software);
    store.putRunner(id, software, false, ++sequence);
    written(StoreKeys.RUNNER_PREFIX + id);
    store.delete(StoreKeys.RUNNER_PREFIX + old);
    written(StoreKeys.RUNNER_PREFIX + old);
  }

  private String runnerId(int runner) {
    return "i-" + runner + "-" + starts.getOrDefault(runner, 0);
  }

  /** Lets a runner announce that it leaves and another one start; returns the leaving one's id. */
  String replaceRunner() {
    int runner = random.nextInt(RUNNERS);
    String id = runnerId(runner);
    store.putRunner(id, true, ++sequence);
    written(StoreKeys.RUNNER_PREFIX + id);
    starts.merge(runner, 1, Integer::sum);
    store.putRunner(runnerId(runner), false, ++sequence);
    written(StoreKeys.RUNNER_PREFIX + runnerId(runner));
    return id;
  }

  private void pull(HostRecords from, String ip, StorePull pull, Consumer<StoreRecords> answer) {
    int to = Integer.parseInt(ip.substring("ip-".length()));
    int asker = from.host.number;
    deliver(
        asker,
        to,
        () -> {
          HostRecords asked = host(to);
          asked.decide(
              () -> {
                StoreRecords answered =
                    RecordExchange.answerPull(pull, asked.registry, asked.deflated, now());
                deliver(to, asker, () -> answer.accept(answered));
              });
        });
  }

  private void deliver(int from, int to, Runnable work) {
    if (peers.reaches(from, to) && !silent.test(from, to)) {
      inTransit.add(new Delivery(now() + 1 + random.nextInt(MAX_DELAY_MILLIS), deliveries++, work));
    }
  }
}
