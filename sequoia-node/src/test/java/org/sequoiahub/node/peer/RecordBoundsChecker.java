package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiahub.usersplatform.standin.VirtualStore.Fault;

/** Plays troubles on a fleet and checks at each step which records its hosts have. */
final class RecordBoundsChecker {

  /** A host or the store counts as in touch so long after its last trouble (ms). */
  static final int RECOVERY_MILLIS = 3_000;

  /** In this time a fleet is calm again and its last change is due (ms). */
  static final int SETTLED_MILLIS = RECOVERY_MILLIS + (int) RecordSimulation.BOUND_MILLIS + 500;

  private static final int VERSION_BOUND_MILLIS = 5_000;
  private static final int STORM_INTERVAL_MILLIS = 300;
  private static final int CHANGE_INTERVAL_MILLIS = 700;
  private static final int CHECK_PERIOD_MILLIS = 50;

  /** Runners that left before this are not looked at any more (ms). */
  private static final int LEFT_RUNNER_CHECK_MILLIS = 4_000;

  private static final String ADAPTER = "a1";

  private final RecordSimulation world;
  private final Random random;

  /** When each version was confirmed. */
  private final TreeMap<Long, Long> confirmed = new TreeMap<>();

  private final TreeMap<Integer, Long> publishedVersions = new TreeMap<>();
  private final TreeMap<Long, String> leaving = new TreeMap<>();
  private final Map<Integer, Long> hostFaultyUntil = new HashMap<>();
  private final Map<Integer, Long> highestVersions = new HashMap<>();

  /** How long each change took to each host in touch (ms), by the way that it came. */
  private final List<Long> storeLatencies = new ArrayList<>();

  private final List<Long> peerLatencies = new ArrayList<>();

  private long storeFaultyUntil = -1;
  private long changedMillis;
  private int intervalMillis = CHANGE_INTERVAL_MILLIS;
  private String currentFault = "joining";

  RecordBoundsChecker(RecordSimulation world, long seed) {
    this.world = world;
    this.random = new Random(seed);
    confirmed.put(world.version(), world.now());
  }

  /** Lets time pass with changes now and then. */
  void advance(long millis) {
    for (long end = world.now() + millis; world.now() < end; ) {
      if (world.now() - changedMillis >= intervalMillis) {
        change();
      }
      world.step();
      if (world.now() % CHECK_PERIOD_MILLIS == 0) {
        check();
      }
    }
  }

  void inject(RecordTrouble trouble) {
    currentFault = trouble + " from " + world.now();
    advance(trouble.pauseMillis());
    Set<Integer> struck = drawHosts(trouble.tenths());
    switch (trouble.kind()) {
      case STORE_SILENT -> injectStoreFault(Fault.SILENT, struck, trouble);
      case STORE_REFUSES -> injectStoreFault(Fault.REFUSING, struck, trouble);
      case STORE_RESETS -> injectStoreFault(Fault.RESETTING, struck, trouble);
      case STORE_SLOW -> injectStoreFault(Fault.SLOW, struck, trouble);
      case STORE_LOSES_ANSWERS -> injectStoreFault(Fault.LOSING, struck, trouble);
      case STORE_STALE -> {
        world.store.stale(trouble.forMillis());
        world.store.dropHistory();
        awaitStoreFault(trouble.forMillis());
        world.store.stale(0);
      }
      case WATCHES_QUIET_THEN_HISTORY_DROPPED -> {
        world.store.quietWatches();
        awaitStoreFault(1_000);
        world.store.dropHistory();
        storeFaultyUntil = world.now();
      }
      case CONNECTIONS_SILENT -> {
        world.store.silenceConnections();
        for (PeerSimulation.Host host : world.peers.running()) {
          hostFaultyUntil.put(host.number, world.now());
        }
        advance(trouble.forMillis());
      }
      case PEER_CONNECTIONS_SILENT -> {
        world.silenceConnections((from, to) -> struck.contains(to));
        advance(trouble.forMillis());
        world.silenceConnections((from, to) -> false);
      }
      case HOSTS_RESTART -> restart(struck, trouble);
      case HOSTS_FREEZE -> {
        long until = world.now() + trouble.forMillis();
        for (int host : struck) {
          world.peers.freeze(host, until);
          hostFaultyUntil.put(host, until);
        }
        advance(trouble.forMillis());
      }
      case HOSTS_CUT_ONE_WAY -> {
        world.cut((from, to) -> struck.contains(from) && !struck.contains(to));
        advance(trouble.forMillis());
        world.cut((from, to) -> false);
      }
      case CHANGES_IN_STORM -> {
        intervalMillis = STORM_INTERVAL_MILLIS;
        advance(trouble.forMillis());
        intervalMillis = CHANGE_INTERVAL_MILLIS;
      }
      default -> throw new AssertionError(trouble.kind());
    }
  }

  private Set<Integer> drawHosts(int tenths) {
    Set<Integer> struck = new HashSet<>();
    int wanted = Math.max(1, world.peers.size() * tenths / 10);
    while (struck.size() < wanted) {
      struck.add(random.nextInt(world.peers.size()));
    }
    return struck;
  }

  /** Strikes the store for some hosts; the operator is served unless it strikes all of them. */
  private void injectStoreFault(Fault kind, Set<Integer> struck, RecordTrouble trouble) {
    world.store.fault(kind, struck::contains);
    boolean turnsAway = kind == Fault.SILENT || kind == Fault.REFUSING || kind == Fault.RESETTING;
    if (turnsAway && struck.size() < world.peers.size()) {
      advance(trouble.forMillis());
    } else {
      awaitStoreFault(trouble.forMillis());
    }
    world.store.fault(Fault.NONE, host -> false);
  }

  private void awaitStoreFault(long millis) {
    storeFaultyUntil = world.now() + millis;
    advance(millis);
  }

  private void restart(Set<Integer> struck, RecordTrouble trouble) {
    for (int host : struck) {
      world.kill(host);
      highestVersions.remove(host);
      hostFaultyUntil.put(host, Long.MAX_VALUE / 2);
    }
    advance(Math.min(trouble.forMillis(), 2_000));
    for (int host : struck) {
      world.start(host);
      hostFaultyUntil.put(host, world.now());
    }
    advance(500);
  }

  /** An operator or a runner changes something; nothing is confirmed while all is down. */
  private void change() {
    changedMillis = world.now();
    switch (random.nextInt(3)) {
      case 0 -> {
        int version = publishedVersions.isEmpty() ? 1 : publishedVersions.lastKey() + 1;
        world.store.publishVersion(ADAPTER, version);
        publishedVersions.put(version, world.now());
      }
      case 1 -> leaving.put(world.now(), world.replaceRunner());
      default -> confirmed.put(world.configure(), world.now());
    }
  }

  private boolean isConnected(int host) {
    return hostFaultyUntil.getOrDefault(host, world.now() - 2 * RECOVERY_MILLIS) + RECOVERY_MILLIS
            <= world.now()
        && storeFaultyUntil + RECOVERY_MILLIS <= world.now();
  }

  private void check() {
    for (PeerSimulation.Host host : world.peers.running()) {
      if (!world.peers.isFrozen(host.number)) {
        check(host.number);
      }
    }
  }

  private void check(int host) {
    RecordSimulation.HostRecords records = world.host(host);
    long version = records.versionInForce();
    long before = highestVersions.getOrDefault(host, -1L);
    assertWithMessage("version at host %s", host).that(version).isAtLeast(before);
    if (before >= 0 && isConnected(host)) {
      List<Long> taken = records.registry.status().fromPeer() ? peerLatencies : storeLatencies;
      confirmed
          .subMap(before, false, version, true)
          .values()
          .forEach(at -> taken.add(world.now() - at));
    }
    highestVersions.put(host, version);
    if (!isConnected(host)) {
      return;
    }
    long due = latestDue(confirmed, RecordSimulation.BOUND_MILLIS, -1L);
    assertWithMessage("version at host %s in touch at %s, %s", host, world.now(), currentFault)
        .that(version)
        .isAtLeast(due);
    int adapter = latestDue(publishedVersions, VERSION_BOUND_MILLIS, 0);
    assertWithMessage("adapter version at host %s at %s, %s", host, world.now(), currentFault)
        .that(records.registry.newestVersion("m/" + ADAPTER))
        .isAtLeast(adapter);
    long latest = world.now() - RecordSimulation.DRAIN_MILLIS;
    for (String runner : leaving.subMap(latest - LEFT_RUNNER_CHECK_MILLIS, latest).values()) {
      assertWithMessage("use of runner %s at host %s at %s, %s", runner, host, world.now(), currentFault)
          .that(records.isUsable(runner))
          .isFalse();
    }
  }

  private <K extends Comparable<K>> K latestDue(TreeMap<K, Long> changes, long bound, K none) {
    K due = none;
    for (Map.Entry<K, Long> change : changes.entrySet()) {
      if (change.getValue() + bound <= world.now()) {
        due = change.getKey();
      }
    }
    return due;
  }

  /** Returns how long changes took to hosts in touch. */
  String summary() {
    return "own watch: " + summary(storeLatencies) + "; a peer: " + summary(peerLatencies);
  }

  private static String summary(List<Long> taken) {
    long[] sorted = taken.stream().mapToLong(t -> t).sorted().toArray();
    if (sorted.length == 0) {
      return "no change";
    }
    return "%d changes, median %d ms, 99th %d ms, worst %d ms"
        .formatted(
            sorted.length,
            sorted[sorted.length / 2],
            sorted[sorted.length * 99 / 100],
            sorted[sorted.length - 1]);
  }
}
