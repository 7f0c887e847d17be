package org.sequoiahub.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * Holds back the loads of adapters under which runners end.
 *
 * <p>An adapter that an engine cannot digest may end the process that loads it. The requests that
 * wait for it then move to another runner, whose holder is mostly another host and orders the load
 * again; the sign is runners that end one after the other, each just after the same order. So a
 * load counts like a request: {@link RequestQuarantine} keeps its ends and holds it back.
 *
 * <p>Not safe for use by several threads. All times are of one monotonic clock.
 */
public final class LoadGuard {

  /**
   * A runner that ends later than this after the order did not end by the load (ms): a load takes
   * 250 ms, and a few times as long while many are on their way.
   */
  private static final long MAX_LOAD_MILLIS = 3_000;

  /** The end of a runner is known this long after it at the latest (ms), by its lapsed entry. */
  private static final long MAX_DETECTION_MILLIS = 8_000;

  /** Loads that are remembered at most; a holder of six runners orders 45 a second. */
  private static final int MAX_TRACKED_LOADS = 1_024;

  private final RequestQuarantine quarantine;
  private final RunnerTerminationListener listener;
  private final Deque<Load> recentLoads = new ArrayDeque<>();

  /** Worked out once: demands are looked at many times a second, and few adapters are asked for. */
  private final Map<String, Long> fingerprints = RequestQuarantine.boundedMap(MAX_TRACKED_LOADS);

  private record Load(long fingerprint, long runner, long orderedMillis) {}

  /**
   * Creates a guard.
   *
   * @param quarantine keeps the ends, of loads and requests alike
   * @param listener told of ends that were not known here
   */
  public LoadGuard(RequestQuarantine quarantine, RunnerTerminationListener listener) {
    this.quarantine = requireNonNull(quarantine, "quarantine must not be null");
    this.listener = requireNonNull(listener, "listener must not be null");
  }

  /** Returns whether a load may be ordered. */
  public boolean mayLoad(String target, int version, long nowMillis) {
    return activeQuarantine(target, version, nowMillis).isEmpty();
  }

  /** Returns why a load is held back; empty if it may be ordered. */
  public Optional<ActiveQuarantine> activeQuarantine(String target, int version, long nowMillis) {
    return quarantine.isEmpty()
        ? Optional.empty()
        : quarantine.activeQuarantine(fingerprint(target, version), nowMillis);
  }

  /** Records that a request that uses an adapter had a good answer: a runner lived with it. */
  public void recordSuccess(String target, int version, long nowMillis) {
    if (!quarantine.isEmpty()) {
      long load = fingerprint(target, version);
      if (quarantine.clear(load, nowMillis)) {
        listener.onCleared(load, nowMillis, nowMillis);
      }
    }
  }

  private long fingerprint(String target, int version) {
    return fingerprints.computeIfAbsent(
        target + "@" + version, key -> RequestFingerprint.ofLoad(target, version).value());
  }

  /**
   * Records that a load was ordered.
   *
   * @param runner the hash of the runner's incarnation
   */
  public void recordOrder(String target, int version, long runner, long nowMillis) {
    recentLoads.addLast(new Load(fingerprint(target, version), runner, nowMillis));
    if (recentLoads.size() > MAX_TRACKED_LOADS) {
      recentLoads.removeFirst();
    }
  }

  /**
   * Records that an order had no reply: its connection broke, as it does when the runner ends by
   * it. That counts for a short time, unless the runner turns out to have ended.
   */
  public void recordUnansweredOrder(String target, int version, long runner, long nowMillis) {
    long load = fingerprint(target, version);
    for (Load ordered : recentLoads) {
      if (ordered.fingerprint == load && ordered.runner == runner) {
        recordTermination(
            new RunnerTermination(load, runner, ordered.orderedMillis, nowMillis, false, false),
            nowMillis);
        return;
      }
    }
  }

  /**
   * Looks for runners that ended soon after an order.
   *
   * @param hasEnded whether the runner with this hash is known to have ended
   */
  public void detectTerminations(LongPredicate hasEnded, long nowMillis) {
    for (Iterator<Load> loads = recentLoads.iterator(); loads.hasNext(); ) {
      Load load = loads.next();
      boolean ended = hasEnded.test(load.runner);
      boolean old = nowMillis - load.orderedMillis >= MAX_DETECTION_MILLIS;
      if (ended || old) {
        loads.remove();
      }
      if (ended && !old) {
        recordTerminationAfter(load, nowMillis);
      }
    }
  }

  /** A request that was there too tells the moment; else it is known only that it is over. */
  private void recordTerminationAfter(Load load, long nowMillis) {
    long endedMillis = quarantine.terminationMillis(load.runner).orElse(nowMillis);
    boolean known = endedMillis != nowMillis;
    if (endedMillis < load.orderedMillis
        || (known && endedMillis - load.orderedMillis > MAX_LOAD_MILLIS)) {
      return;
    }
    recordTermination(
        new RunnerTermination(
            load.fingerprint, load.runner, load.orderedMillis, endedMillis, false, true),
        nowMillis);
  }

  private void recordTermination(RunnerTermination end, long nowMillis) {
    if (quarantine.recordTermination(end, nowMillis)) {
      listener.onTermination(end, nowMillis);
    }
  }
}
