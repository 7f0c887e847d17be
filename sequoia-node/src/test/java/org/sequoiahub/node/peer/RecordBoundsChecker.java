package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.sequoiahub.node.peer.RecordTrouble.Kind;
import org.sequoiahub.usersplatform.StoreKeys;
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

  /** How long the store is silent before it comes back from an older copy (ms). */
  private static final int RESTORE_AWAY_MILLIS = 400;

  private final RecordSimulation simulation;
  private final Random random;

  /** The confirmed configuration versions. */
  private final TreeMap<Long, AckedChange> confirmed = new TreeMap<>();

  private final TreeMap<Integer, AckedChange> publishedVersions = new TreeMap<>();
  private final Map<String, AckedChange> leaving = new LinkedHashMap<>();

  /** The runners of which each process knew at the last check that they leave. */
  private final Map<Integer, Set<String>> knownLeaving = new HashMap<>();

  private final Map<Integer, Long> hostFaultyUntil = new HashMap<>();
  private final Map<Integer, Long> highestVersions = new HashMap<>();

  /** How long each change took to reach each connected host (ms), by its source. */
  private final List<Long> storeLatencies = new ArrayList<>();

  private final List<Long> peerLatencies = new ArrayList<>();

  private final List<OverlappingFault> active = new ArrayList<>();
  private boolean delegatesFirst;
  private long storeFaultyUntil = -1;
  private long changedMillis;
  private int intervalMillis = CHANGE_INTERVAL_MILLIS;
  private String currentFault = "joining";

  RecordBoundsChecker(RecordSimulation simulation, long seed) {
    this.simulation = simulation;
    this.random = new Random(seed);
    confirmed.put(simulation.version(), new AckedChange(StoreKeys.CONFIGURATION, simulation.now()));
    simulation.onWrite(this::written);
  }

  /** A change that the store acknowledged, and that it may have lost since. */
  private static final class AckedChange {
    final String key;
    final long ackedMillis;

    /** When it, or what supersedes it, was written last. */
    long writtenMillis;

    /** Whether the store has lost it, even if it was written again since. */
    boolean lost;

    /** Whether it has been lost and is not written again yet. */
    boolean missing;

    /** The hosts that knew it when the store lost it and that can tell others since. */
    Set<Integer> knowers = new HashSet<>();

    AckedChange(String key, long ackedMillis) {
      this.key = key;
      this.ackedMillis = ackedMillis;
      this.writtenMillis = ackedMillis;
    }

    /**
     * Returns the time from which its bound runs: its acknowledgement, unless the store and all
     * hosts lost it, and then that of the next write.
     */
    long boundStartMillis() {
      if (!lost || !knowers.isEmpty()) {
        return ackedMillis;
      }
      return missing ? Long.MAX_VALUE / 2 : writtenMillis;
    }

    void lose(Set<Integer> knownBy) {
      lost = true;
      missing = true;
      knowers = knownBy;
    }
  }

  private List<AckedChange> ackedChanges() {
    List<AckedChange> all = new ArrayList<>(confirmed.values());
    all.addAll(publishedVersions.values());
    all.addAll(leaving.values());
    return all;
  }

  private void written(String key) {
    for (AckedChange change : ackedChanges()) {
      if (change.missing && change.key.equals(key)) {
        change.missing = false;
        change.writtenMillis = simulation.now();
      }
    }
  }

  private void restoreStore(long ageMillis) {
    long copiedAtMillis = simulation.now() - ageMillis;
    confirmed.forEach(
        (version, change) ->
            loseIfNewer(
                change, copiedAtMillis, host -> simulation.host(host).versionInForce() >= version));
    publishedVersions.forEach(
        (version, change) ->
            loseIfNewer(
                change,
                copiedAtMillis,
                host -> simulation.host(host).registry.newestVersion("m/" + ADAPTER) >= version));
    leaving.forEach(
        (runner, change) ->
            loseIfNewer(
                change, copiedAtMillis, host -> simulation.host(host).knowsLeaving(runner)));
    simulation.restoreStore(ageMillis);
  }

  private void loseIfNewer(AckedChange change, long copiedAtMillis, IntPredicate known) {
    if (change.missing || change.writtenMillis > copiedAtMillis) {
      Set<Integer> knowers = new HashSet<>();
      if (!isAnyCut()) {
        for (PeerSimulation.Host host : simulation.peers.running()) {
          if (isHostSound(host.number) && known.test(host.number)) {
            knowers.add(host.number);
          }
        }
      }
      change.lose(knowers);
    }
  }

  private boolean isAnyCut() {
    return active.stream()
        .map(fault -> fault.trouble.kind())
        .anyMatch(kind -> kind == Kind.HOSTS_CUT_ONE_WAY || kind == Kind.PEER_CONNECTIONS_SILENT);
  }

  /** Excludes hosts from those that are expected to tell others of lost changes. */
  private void excludeKnowers(IntPredicate hosts) {
    for (AckedChange change : ackedChanges()) {
      change.knowers.removeIf(hosts::test);
    }
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
      case STORE_RESTORED -> {
        simulation.store.setFault(Fault.SILENT, host -> true);
        restoreStore(fault.forMillis());
        awaitStoreFault(RESTORE_AWAY_MILLIS);
        simulation.store.setFault(Fault.NONE, host -> false);
      }
      case PEER_CONNECTIONS_SILENT -> {
        excludeKnowers(host -> true);
        simulation.silenceConnections((from, to) -> affected.contains(to));
        advance(fault.forMillis());
        simulation.silenceConnections((from, to) -> false);
      }
      case HOSTS_RESTART -> restart(affected, fault);
      case HOSTS_FREEZE -> {
        excludeKnowers(affected::contains);
        long until = simulation.now() + fault.forMillis();
        for (int host : affected) {
          simulation.peers.freeze(host, until);
          hostFaultyUntil.put(host, until);
        }
        advance(fault.forMillis());
      }
      case HOSTS_CUT_ONE_WAY -> {
        excludeKnowers(host -> true);
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
      boolean restored = trouble.kind() == Kind.STORE_RESTORED;
      long end = begin + (restored ? RESTORE_AWAY_MILLIS : trouble.forMillis());
      steps.add(new Step(end, () -> end(fault)));
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
        excludeKnowers(affected::contains);
        for (int host : affected) {
          simulation.peers.freeze(host, until);
          hostFaulty(host, until);
        }
      }
      case HOSTS_RESTART -> {
        for (int host : affected) {
          if (simulation.peers.host(host) != null) {
            kill(host);
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
      case STORE_RESTORED -> {
        restoreStore(fault.trouble.forMillis());
        storeFaulty(simulation.now() + RESTORE_AWAY_MILLIS);
        applyFaults();
      }
      case HOSTS_CUT_ONE_WAY, PEER_CONNECTIONS_SILENT -> {
        excludeKnowers(host -> true);
        applyFaults();
      }
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
    boolean storeAway =
        active.stream().anyMatch(fault -> fault.trouble.kind() == Kind.STORE_RESTORED);
    for (int host = 0; storeAway && host < simulation.peers.size(); host++) {
      byHost.put(host, Fault.SILENT);
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

  /** From now on the delegates are the first hosts that a fault affects. */
  void affectDelegatesFirst() {
    delegatesFirst = true;
  }

  private Set<Integer> drawHosts(int tenths) {
    Set<Integer> affected = new HashSet<>();
    int wanted = Math.max(1, simulation.peers.size() * tenths / 10);
    if (delegatesFirst) {
      simulation.peers.running().stream()
          .filter(host -> host.topology.isDelegate())
          .limit(wanted)
          .forEach(host -> affected.add(host.number));
    }
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

  private void kill(int host) {
    simulation.kill(host);
    highestVersions.remove(host);
    knownLeaving.remove(host);
    excludeKnowers(killed -> killed == host);
  }

  private void restart(Set<Integer> affected, RecordTrouble fault) {
    for (int host : affected) {
      kill(host);
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
        simulation.publish(ADAPTER, version);
        publishedVersions.put(
            version, new AckedChange(RecordSimulation.versionKey(ADAPTER), simulation.now()));
      }
      case 1 -> {
        String runner = simulation.replaceRunner();
        leaving.put(runner, new AckedChange(StoreKeys.RUNNER_PREFIX + runner, simulation.now()));
      }
      default ->
          confirmed.put(
              simulation.configure(), new AckedChange(StoreKeys.CONFIGURATION, simulation.now()));
    }
  }

  private boolean isConnected(int host) {
    return isHostSound(host) && storeFaultyUntil + RECOVERY_MILLIS <= simulation.now();
  }

  private boolean isHostSound(int host) {
    return hostFaultyUntil.getOrDefault(host, simulation.now() - 2 * RECOVERY_MILLIS)
            + RECOVERY_MILLIS
        <= simulation.now();
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
          .forEach(change -> latencies.add(simulation.now() - change.ackedMillis));
    }
    highestVersions.put(host, version);
    checkKnownLeaving(host, records);
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
    leaving.forEach(
        (runner, change) -> {
          long start = change.boundStartMillis();
          if (start >= latest - LEFT_RUNNER_CHECK_MILLIS && start < latest) {
            assertWithMessage(
                    "use of runner %s at host %s at %s, %s",
                    runner, host, simulation.now(), currentFault)
                .that(records.isUsable(runner))
                .isFalse();
          }
        });
  }

  /** A process that knew of a runner that it leaves does not use that runner again. */
  private void checkKnownLeaving(int host, RecordSimulation.HostRecords records) {
    Set<String> known = knownLeaving.computeIfAbsent(host, number -> new HashSet<>());
    for (String runner : leaving.keySet()) {
      if (records.knowsLeaving(runner)) {
        known.add(runner);
      } else if (known.contains(runner)) {
        assertWithMessage(
                "renewed use of runner %s at host %s at %s, %s",
                runner, host, simulation.now(), currentFault)
            .that(records.isUsable(runner))
            .isFalse();
      }
    }
  }

  private <K extends Comparable<K>> K latestDue(
      TreeMap<K, AckedChange> changes, long bound, K none) {
    K due = none;
    for (Map.Entry<K, AckedChange> change : changes.entrySet()) {
      if (change.getValue().boundStartMillis() + bound <= simulation.now()) {
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
