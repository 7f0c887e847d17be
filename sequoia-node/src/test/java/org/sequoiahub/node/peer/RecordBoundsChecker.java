package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiahub.node.peer.RecordTrouble.Kind;
import org.sequoiahub.usersplatform.standin.VirtualStore.Fault;

/** Injects faults into a fleet and checks at each step which records its hosts have. */
final class RecordBoundsChecker {

  /** A host or the store counts as connected this long after its last fault (ms). */
  static final int RECOVERY_MILLIS = 3_000;

  /** Time after which a fleet has recovered and its last change is due (ms). */
  static final int SETTLED_MILLIS = RECOVERY_MILLIS + (int) RecordSimulation.BOUND_MILLIS + 500;

  private static final int VERSION_BOUND_MILLIS = 5_000;
  private static final int STORM_INTERVAL_MILLIS = 300;
  private static final int CHANGE_INTERVAL_MILLIS = 700;
  private static final int CHECK_PERIOD_MILLIS = 50;

  /** How long runners that left are checked (ms). */
  private static final int LEFT_RUNNER_CHECK_MILLIS = 4_000;

  private static final String ADAPTER = "a1";

  private final RecordSimulation simulation;
  private final Random random;

  /** When each configuration version was confirmed. */
  private final TreeMap<Long, Long> confirmed = new TreeMap<>();

  private final TreeMap<Integer, Long> publishedVersions = new TreeMap<>();
  private final TreeMap<Long, String> leaving = new TreeMap<>();
  private final Map<Integer, Long> hostFaultyUntil = new HashMap<>();
  private final Map<Integer, Long> highestVersions = new HashMap<>();

  /** How long each change took to reach each connected host (ms), by its source. */
  private final List<Long> storeLatencies = new ArrayList<>();

  private final List<Long> peerLatencies = new ArrayList<>();

  private final List<OverlappingFault> active = new ArrayList<>();
  private long storeFaultyUntil = -1;
  private long changedMillis;
  private int intervalMillis = CHANGE_INTERVAL_MILLIS;
  private String currentFault = "joining";

  RecordBoundsChecker(RecordSimulation simulation, long seed) {
    this.simulation = simulation;
    this.random = new Random(seed);
    confirmed.put(simulation.version(), simulation.now());
  }

  /** Advances the time while changes are made at intervals. */
  void advance(long millis) {
    for (long end = simulation.now() + millis; simulation.now() < end; ) {
      if (simulation.now() - changedMillis >= intervalMillis) {
        change();
      }
      simulation.step();
      if (simulation.now() % CHECK_PERIOD_MILLIS == 0) {
        check();
      }
    }
  }

  void inject(RecordTrouble fault) {
    currentFault = fault + " from " + simulation.now();
    advance(fault.pauseMillis());
    Set<Integer> affected = drawHosts(fault.tenths());
    switch (fault.kind()) {
      case STORE_SILENT -> injectStoreFault(Fault.SILENT, affected, fault);
      case STORE_REFUSES -> injectStoreFault(Fault.REFUSING, affected, fault);
      case STORE_RESETS -> injectStoreFault(Fault.RESETTING, affected, fault);
      case STORE_SLOW -> injectStoreFault(Fault.SLOW, affected, fault);
      case STORE_LOSES_ANSWERS -> injectStoreFault(Fault.LOSING, affected, fault);
      case STORE_STALE -> {
        simulation.store.setStaleness(fault.forMillis());
        simulation.store.dropHistory();
        awaitStoreFault(fault.forMillis());
        simulation.store.setStaleness(0);
      }
      case WATCHES_QUIET_THEN_HISTORY_DROPPED -> {
        simulation.store.suppressWatchEvents();
        awaitStoreFault(1_000);
        simulation.store.dropHistory();
        storeFaultyUntil = simulation.now();
      }
      case CONNECTIONS_SILENT -> {
        simulation.store.silenceConnections();
        for (PeerSimulation.Host host : simulation.peers.running()) {
          hostFaultyUntil.put(host.number, simulation.now());
        }
        advance(fault.forMillis());
      }
      case PEER_CONNECTIONS_SILENT -> {
        simulation.silenceConnections((from, to) -> affected.contains(to));
        advance(fault.forMillis());
        simulation.silenceConnections((from, to) -> false);
      }
      case HOSTS_RESTART -> restart(affected, fault);
      case HOSTS_FREEZE -> {
        long until = simulation.now() + fault.forMillis();
        for (int host : affected) {
          simulation.peers.freeze(host, until);
          hostFaultyUntil.put(host, until);
        }
        advance(fault.forMillis());
      }
      case HOSTS_CUT_ONE_WAY -> {
        simulation.cut((from, to) -> affected.contains(from) && !affected.contains(to));
        advance(fault.forMillis());
        simulation.cut((from, to) -> false);
      }
      case CHANGES_IN_STORM -> {
        intervalMillis = STORM_INTERVAL_MILLIS;
        advance(fault.forMillis());
        intervalMillis = CHANGE_INTERVAL_MILLIS;
      }
      default -> throw new AssertionError(fault.kind());
    }
  }

  /**
   * Injects faults that overlap: each begins after its own pause, counted from now.
   *
   * <p>While the store is faulty for any host, no bound holds for any.
   */
  void injectTogether(List<RecordTrouble> troubles) {
    currentFault = troubles + " from " + simulation.now();
    PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingLong(Step::atMillis));
    for (RecordTrouble trouble : troubles) {
      long begin = simulation.now() + trouble.pauseMillis();
      Set<Integer> affected = drawHosts(trouble.tenths());
      OverlappingFault fault = new OverlappingFault(trouble, affected);
      steps.add(new Step(begin, () -> begin(fault)));
      steps.add(new Step(begin + trouble.forMillis(), () -> end(fault)));
    }
    while (!steps.isEmpty()) {
      Step next = steps.poll();
      advance(Math.max(0, next.atMillis - simulation.now()));
      next.action.run();
    }
  }

  private record Step(long atMillis, Runnable action) {}

  private record OverlappingFault(RecordTrouble trouble, Set<Integer> affected) {}

  private void begin(OverlappingFault fault) {
    active.add(fault);
    Set<Integer> affected = fault.affected;
    long until = simulation.now() + fault.trouble.forMillis();
    switch (fault.trouble.kind()) {
      case HOSTS_FREEZE -> {
        for (int host : affected) {
          simulation.peers.freeze(host, until);
          hostFaulty(host, until);
        }
      }
      case HOSTS_RESTART -> {
        for (int host : affected) {
          if (simulation.peers.host(host) != null) {
            simulation.kill(host);
            highestVersions.remove(host);
          }
          hostFaulty(host, until);
        }
      }
      case CONNECTIONS_SILENT -> {
        simulation.store.silenceConnections();
        for (int host = 0; host < simulation.peers.size(); host++) {
          hostFaulty(host, simulation.now());
        }
      }
      case STORE_STALE, WATCHES_QUIET_THEN_HISTORY_DROPPED -> {
        simulation.store.dropHistory();
        storeFaulty(until);
      }
      case CHANGES_IN_STORM -> intervalMillis = STORM_INTERVAL_MILLIS;
      default -> applyFaults();
    }
  }

  private void end(OverlappingFault fault) {
    active.remove(fault);
    switch (fault.trouble.kind()) {
      case HOSTS_RESTART -> {
        for (int host : fault.affected) {
          if (simulation.peers.host(host) == null) {
            simulation.start(host);
          }
          hostFaulty(host, simulation.now());
        }
      }
      case CHANGES_IN_STORM -> intervalMillis = CHANGE_INTERVAL_MILLIS;
      default -> applyFaults();
    }
  }

  private void hostFaulty(int host, long untilMillis) {
    hostFaultyUntil.merge(host, untilMillis, Math::max);
  }

  private void storeFaulty(long untilMillis) {
    storeFaultyUntil = Math.max(storeFaultyUntil, untilMillis);
  }

  /** Applies the faults of the store and of the links between hosts that are active now. */
  private void applyFaults() {
    Map<Integer, Fault> byHost = new HashMap<>();
    for (OverlappingFault fault : active) {
      storeFault(fault.trouble.kind())
          .ifPresent(
              kind -> {
                storeFaulty(simulation.now() + fault.trouble.forMillis());
                fault.affected.forEach(host -> byHost.put(host, kind));
              });
    }
    simulation.store.setFaults(host -> byHost.getOrDefault(host, Fault.NONE));
    simulation.cut(
        (from, to) ->
            affects(Kind.HOSTS_CUT_ONE_WAY, from) && !affects(Kind.HOSTS_CUT_ONE_WAY, to));
    simulation.silenceConnections((from, to) -> affects(Kind.PEER_CONNECTIONS_SILENT, to));
  }

  private boolean affects(Kind kind, int host) {
    return active.stream()
        .anyMatch(fault -> fault.trouble.kind() == kind && fault.affected.contains(host));
  }

  private static Optional<Fault> storeFault(Kind kind) {
    return switch (kind) {
      case STORE_SILENT -> Optional.of(Fault.SILENT);
      case STORE_REFUSES -> Optional.of(Fault.REFUSING);
      case STORE_RESETS -> Optional.of(Fault.RESETTING);
      case STORE_SLOW -> Optional.of(Fault.SLOW);
      case STORE_LOSES_ANSWERS -> Optional.of(Fault.LOSING);
      default -> Optional.empty();
    };
  }

  private Set<Integer> drawHosts(int tenths) {
    Set<Integer> affected = new HashSet<>();
    int wanted = Math.max(1, simulation.peers.size() * tenths / 10);
    while (affected.size() < wanted) {
      affected.add(random.nextInt(simulation.peers.size()));
    }
    return affected;
  }

  /** Injects a store fault for some hosts; the operator is served unless it affects all of them. */
  private void injectStoreFault(Fault kind, Set<Integer> affected, RecordTrouble fault) {
    simulation.store.setFault(kind, affected::contains);
    boolean rejectsHosts =
        kind == Fault.SILENT || kind == Fault.REFUSING || kind == Fault.RESETTING;
    if (rejectsHosts && affected.size() < simulation.peers.size()) {
      advance(fault.forMillis());
    } else {
      awaitStoreFault(fault.forMillis());
    }
    simulation.store.setFault(Fault.NONE, host -> false);
  }

  private void awaitStoreFault(long millis) {
    storeFaultyUntil = simulation.now() + millis;
    advance(millis);
  }

  private void restart(Set<Integer> affected, RecordTrouble fault) {
    for (int host : affected) {
      simulation.kill(host);
      highestVersions.remove(host);
      hostFaultyUntil.put(host, Long.MAX_VALUE / 2);
    }
    advance(Math.min(fault.forMillis(), 2_000));
    for (int host : affected) {
      simulation.start(host);
      hostFaultyUntil.put(host, simulation.now());
    }
    advance(500);
  }

  /** Makes a change of an operator or a runner; none is confirmed while all is down. */
  private void change() {
    changedMillis = simulation.now();
    switch (random.nextInt(3)) {
      case 0 -> {
        int version = publishedVersions.isEmpty() ? 1 : publishedVersions.lastKey() + 1;
        simulation.store.putVersion(ADAPTER, version);
        publishedVersions.put(version, simulation.now());
      }
      case 1 -> leaving.put(simulation.now(), simulation.replaceRunner());
      default -> confirmed.put(simulation.configure(), simulation.now());
    }
  }

  private boolean isConnected(int host) {
    return hostFaultyUntil.getOrDefault(host, simulation.now() - 2 * RECOVERY_MILLIS)
                + RECOVERY_MILLIS
            <= simulation.now()
        && storeFaultyUntil + RECOVERY_MILLIS <= simulation.now();
  }

  private void check() {
    for (PeerSimulation.Host host : simulation.peers.running()) {
      if (!simulation.peers.isFrozen(host.number)) {
        check(host.number);
      }
    }
  }

  private void check(int host) {
    RecordSimulation.HostRecords records = simulation.host(host);
    long version = records.versionInForce();
    long before = highestVersions.getOrDefault(host, -1L);
    assertWithMessage("version at host %s", host).that(version).isAtLeast(before);
    if (before >= 0 && isConnected(host)) {
      List<Long> latencies = records.registry.status().fromPeer() ? peerLatencies : storeLatencies;
      confirmed
          .subMap(before, false, version, true)
          .values()
          .forEach(at -> latencies.add(simulation.now() - at));
    }
    highestVersions.put(host, version);
    if (!isConnected(host)) {
      return;
    }
    long due = latestDue(confirmed, RecordSimulation.BOUND_MILLIS, -1L);
    assertWithMessage(
            "version at connected host %s at %s, %s", host, simulation.now(), currentFault)
        .that(version)
        .isAtLeast(due);
    int adapter = latestDue(publishedVersions, VERSION_BOUND_MILLIS, 0);
    assertWithMessage("adapter version at host %s at %s, %s", host, simulation.now(), currentFault)
        .that(records.registry.newestVersion("m/" + ADAPTER))
        .isAtLeast(adapter);
    long latest = simulation.now() - RecordSimulation.DRAIN_MILLIS;
    for (String runner : leaving.subMap(latest - LEFT_RUNNER_CHECK_MILLIS, latest).values()) {
      assertWithMessage(
              "use of runner %s at host %s at %s, %s", runner, host, simulation.now(), currentFault)
          .that(records.isUsable(runner))
          .isFalse();
    }
  }

  private <K extends Comparable<K>> K latestDue(TreeMap<K, Long> changes, long bound, K none) {
    K due = none;
    for (Map.Entry<K, Long> change : changes.entrySet()) {
      if (change.getValue() + bound <= simulation.now()) {
        due = change.getKey();
      }
    }
    return due;
  }

  /** Returns how long changes took to reach connected hosts. */
  String summary() {
    return "own watch: " + summary(storeLatencies) + "; a peer: " + summary(peerLatencies);
  }

  private static String summary(List<Long> latencies) {
    long[] sorted = latencies.stream().mapToLong(t -> t).sorted().toArray();
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
