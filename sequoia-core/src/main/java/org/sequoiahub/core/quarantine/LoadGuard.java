package org.sequoiahub.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * Quarantines loads of adapters during which runners terminate.
 *
 * <p>An adapter that an engine cannot process may terminate the process that loads it. The requests
 * that wait for it then move to another runner, whose holder is usually another host and orders the
 * load again; the symptom is a sequence of runners that terminate, each just after the same order.
 * A load is therefore treated like a request: {@link RequestQuarantine} records its terminations
 * and decides about its quarantine.
 *
 * <p>Not thread-safe. All times are of the same monotonic clock.
 */
public final class LoadGuard {

  /**
   * The longest time from a load order to a termination that the load can have caused (ms). A load
   * takes 250 ms, and a few times as long while many are in flight.
   */
  private static final long MAX_LOAD_MILLIS = 3_000;

  /**
   * The longest time until the termination of a runner is detected, at the latest by its expired
   * entry (ms).
   */
  private static final long MAX_DETECTION_MILLIS = 8_000;

  /**
   * The maximum number of orders that are tracked; a holder of six runners orders 45 loads a
   * second.
   */
  private static final int MAX_TRACKED_LOADS = 1_024;

  private final RequestQuarantine quarantine;
  private final RunnerTerminationListener listener;
  private final Deque<Load> recentLoads = new ArrayDeque<>();

  /**
   * Fingerprints by target and version. Computing them once suffices: demands are evaluated many
   * times a second, for few adapters.
   */
  private final Map<String, Long> fingerprints = RequestQuarantine.boundedMap(MAX_TRACKED_LOADS);

  private record Load(long fingerprint, long runner, long orderedMillis) {}

  /**
   * Creates a guard.
   *
   * @param quarantine records the terminations of loads and requests alike
   * @param listener notified of terminations that were not known to this host
   */
  public LoadGuard(RequestQuarantine quarantine, RunnerTerminationListener listener) {
    this.quarantine = requireNonNull(quarantine, "quarantine must not be null");
    this.listener = requireNonNull(listener, "listener must not be null");
  }

  /** Returns whether a load may be ordered. */
  public boolean mayLoad(String target, int version, long nowMillis) {
    return activeQuarantine(target, version, nowMillis).isEmpty();
  }

  /** Returns the quarantine of a load; empty if it may be ordered. */
  public Optional<ActiveQuarantine> activeQuarantine(String target, int version, long nowMillis) {
    return quarantine.isEmpty()
        ? Optional.empty()
        : quarantine.activeQuarantine(fingerprint(target, version), nowMillis);
  }

  /**
   * Records that a request that uses an adapter had a successful response, so that a runner
   * survived its load.
   */
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
   * Records that an order received no reply because its connection broke, as happens when the load
   * terminates the runner.
   *
   * <p>This counts as an unconfirmed termination, and only for a short time unless the runner is
   * found to have terminated.
   */
  public void recordUnansweredOrder(String target, int version, long runner, long nowMillis) {
    long load = fingerprint(target, version);
    for (Load recent : recentLoads) {
      if (recent.fingerprint == load && recent.runner == runner) {
        recordTermination(
            new RunnerTermination(load, runner, recent.orderedMillis, nowMillis, false, false),
            nowMillis);
        return;
      }
    }
  }

  /**
   * Records the terminations of runners that followed an order.
   *
   * @param hasTerminated whether the runner with this hash is known to have terminated
   */
  public void detectTerminations(LongPredicate hasTerminated, long nowMillis) {
    for (Iterator<Load> loads = recentLoads.iterator(); loads.hasNext(); ) {
      Load load = loads.next();
      boolean terminated = hasTerminated.test(load.runner);
      boolean expired = nowMillis - load.orderedMillis >= MAX_DETECTION_MILLIS;
      if (terminated || expired) {
        loads.remove();
      }
      if (terminated && !expired) {
        recordTerminationAfter(load, nowMillis);
      }
    }
  }

  /**
   * Uses the time at which a request on the same runner failed; without one, only the fact of the
   * termination is known, and the present time is used.
   */
  private void recordTerminationAfter(Load load, long nowMillis) {
    long endedMillis = quarantine.terminationMillis(load.runner).orElse(nowMillis);
    boolean timeKnown = endedMillis != nowMillis;
    if (endedMillis < load.orderedMillis
        || (timeKnown && endedMillis - load.orderedMillis > MAX_LOAD_MILLIS)) {
      return;
    }
    recordTermination(
        new RunnerTermination(
            load.fingerprint, load.runner, load.orderedMillis, endedMillis, false, true),
        nowMillis);
  }

  private void recordTermination(RunnerTermination termination, long nowMillis) {
    if (quarantine.recordTermination(termination, nowMillis)) {
      listener.onTermination(termination, nowMillis);
    }
  }
}
