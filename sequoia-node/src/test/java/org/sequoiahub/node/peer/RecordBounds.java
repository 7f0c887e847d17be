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
final class RecordBounds {

  /** A host or the store counts as in touch so long after its last trouble (ms). */
  static final int STABLE_MILLIS = 3_000;

  /** In this time a fleet is calm again and its last change is due (ms). */
  static final int SETTLED_MILLIS = STABLE_MILLIS + (int) RecordWorld.BOUND_MILLIS + 500;

  private static final int VERSION_MILLIS = 5_000;
  private static final int STORM_GAP_MILLIS = 300;
  private static final int CHANGE_GAP_MILLIS = 700;
  private static final int CHECK_MILLIS = 50;

  /** Runners that left before this are not looked at any more (ms). */
  private static final int LEFT_MILLIS = 4_000;

  private static final String ADAPTER = "a1";

  private final RecordWorld world;
  private final Random random;

  /** When each version was confirmed. */
  private final TreeMap<Long, Long> confirmed = new TreeMap<>();

  private final TreeMap<Integer, Long> publishedVersions = new TreeMap<>();
  private final TreeMap<Long, String> leaving = new TreeMap<>();
  private final Map<Integer, Long> troubledUntil = new HashMap<>();
  private final Map<Integer, Long> highest = new HashMap<>();

  /** How long each change took to each host in touch (ms), by the way that it came. */
  private final List<Long> takenFromStore = new ArrayList<>();

  private final List<Long> takenFromPeer = new ArrayList<>();

  private long storeTroubledUntil = -1;
  private long changedMillis;
  private int gapMillis = CHANGE_GAP_MILLIS;
  private String playing = "joining";

  RecordBounds(RecordWorld world, long seed) {
    this.world = world;
    this.random = new Random(seed);
    confirmed.put(world.version(), world.now());
  }

  /** Lets time pass with changes now and then. */
  void pass(long millis) {
    for (long end = world.now() + millis; world.now() < end; ) {
      if (world.now() - changedMillis >= gapMillis) {
        change();
      }
      world.step();
      if (world.now() % CHECK_MILLIS == 0) {
        check();
      }
    }
  }

  void play(RecordTrouble trouble) {
    playing = trouble + " from " + world.now();
    pass(trouble.pauseMillis());
    Set<Integer> struck = struck(trouble.tenths());
    switch (trouble.kind()) {
      case STORE_SILENT -> fault(Fault.SILENT, struck, trouble);
      case STORE_REFUSES -> fault(Fault.REFUSING, struck, trouble);
      case STORE_RESETS -> fault(Fault.RESETTING, struck, trouble);
      case STORE_SLOW -> fault(Fault.SLOW, struck, trouble);
      case STORE_LOSES_ANSWERS -> fault(Fault.LOSING, struck, trouble);
      case STORE_STALE -> {
        world.store.setStaleness(trouble.forMillis());
        world.store.dropHistory();
        storeTrouble(trouble.forMillis());
        world.store.setStaleness(0);
      }
      case WATCHES_QUIET_THEN_HISTORY_DROPPED -> {
        world.store.suppressWatchEvents();
        storeTrouble(1_000);
        world.store.dropHistory();
        storeTroubledUntil = world.now();
      }
      case CONNECTIONS_SILENT -> {
        world.store.silenceConnections();
        for (PeerWorld.Host host : world.peers.running()) {
          troubledUntil.put(host.number, world.now());
        }
        pass(trouble.forMillis());
      }
      case PEER_CONNECTIONS_SILENT -> {
        world.silenceConnections((from, to) -> struck.contains(to));
        pass(trouble.forMillis());
        world.silenceConnections((from, to) -> false);
      }
      case HOSTS_RESTART -> restart(struck, trouble);
      case HOSTS_FREEZE -> {
        long until = world.now() + trouble.forMillis();
        for (int host : struck) {
          world.peers.freeze(host, until);
          troubledUntil.put(host, until);
        }
        pass(trouble.forMillis());
      }
      case HOSTS_CUT_ONE_WAY -> {
        world.cut((from, to) -> struck.contains(from) && !struck.contains(to));
        pass(trouble.forMillis());
        world.cut((from, to) -> false);
      }
      case CHANGES_IN_STORM -> {
        gapMillis = STORM_GAP_MILLIS;
        pass(trouble.forMillis());
        gapMillis = CHANGE_GAP_MILLIS;
      }
      default -> throw new AssertionError(trouble.kind());
    }
  }

  private Set<Integer> struck(int tenths) {
    Set<Integer> struck = new HashSet<>();
    int wanted = Math.max(1, world.peers.size() * tenths / 10);
    while (struck.size() < wanted) {
      struck.add(random.nextInt(world.peers.size()));
    }
    return struck;
  }

  /** Strikes the store for some hosts; the operator is served unless it strikes all of them. */
  private void fault(Fault kind, Set<Integer> struck, RecordTrouble trouble) {
    world.store.setFault(kind, struck::contains);
    boolean turnsAway = kind == Fault.SILENT || kind == Fault.REFUSING || kind == Fault.RESETTING;
    if (turnsAway && struck.size() < world.peers.size()) {
      pass(trouble.forMillis());
    } else {
      storeTrouble(trouble.forMillis());
    }
    world.store.setFault(Fault.NONE, host -> false);
  }

  private void storeTrouble(long millis) {
    storeTroubledUntil = world.now() + millis;
    pass(millis);
  }

  private void restart(Set<Integer> struck, RecordTrouble trouble) {
    for (int host : struck) {
      world.kill(host);
      highest.remove(host);
      troubledUntil.put(host, Long.MAX_VALUE / 2);
    }
    pass(Math.min(trouble.forMillis(), 2_000));
    for (int host : struck) {
      world.start(host);
      troubledUntil.put(host, world.now());
    }
    pass(500);
  }

  /** An operator or a runner changes something; nothing is confirmed while all is down. */
  private void change() {
    changedMillis = world.now();
    switch (random.nextInt(3)) {
      case 0 -> {
        int version = publishedVersions.isEmpty() ? 1 : publishedVersions.lastKey() + 1;
        world.store.putVersion(ADAPTER, version);
        publishedVersions.put(version, world.now());
      }
      case 1 -> leaving.put(world.now(), world.runnerLeaves());
      default -> confirmed.put(world.configure(), world.now());
    }
  }

  private boolean inTouch(int host) {
    return troubledUntil.getOrDefault(host, world.now() - 2 * STABLE_MILLIS) + STABLE_MILLIS
            <= world.now()
        && storeTroubledUntil + STABLE_MILLIS <= world.now();
  }

  private void check() {
    for (PeerWorld.Host host : world.peers.running()) {
      if (!world.peers.isFrozen(host.number)) {
        check(host.number);
      }
    }
  }

  private void check(int host) {
    RecordWorld.HostRecords records = world.host(host);
    long version = records.versionInForce();
    long before = highest.getOrDefault(host, -1L);
    assertWithMessage("version at host %s", host).that(version).isAtLeast(before);
    if (before >= 0 && inTouch(host)) {
      List<Long> taken = records.registry.status().fromPeer() ? takenFromPeer : takenFromStore;
      confirmed
          .subMap(before, false, version, true)
          .values()
          .forEach(at -> taken.add(world.now() - at));
    }
    highest.put(host, version);
    if (!inTouch(host)) {
      return;
    }
    long due = dueBy(confirmed, RecordWorld.BOUND_MILLIS, -1L);
    assertWithMessage("version at host %s in touch at %s, %s", host, world.now(), playing)
        .that(version)
        .isAtLeast(due);
    int adapter = dueBy(publishedVersions, VERSION_MILLIS, 0);
    assertWithMessage("adapter version at host %s at %s, %s", host, world.now(), playing)
        .that(records.registry.newestVersion("m/" + ADAPTER))
        .isAtLeast(adapter);
    long latest = world.now() - RecordWorld.DRAIN_MILLIS;
    for (String runner : leaving.subMap(latest - LEFT_MILLIS, latest).values()) {
      assertWithMessage("use of runner %s at host %s at %s, %s", runner, host, world.now(), playing)
          .that(records.isUsable(runner))
          .isFalse();
    }
  }

  private <K extends Comparable<K>> K dueBy(TreeMap<K, Long> changes, long bound, K none) {
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
    return "own watch: " + summary(takenFromStore) + "; a peer: " + summary(takenFromPeer);
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
