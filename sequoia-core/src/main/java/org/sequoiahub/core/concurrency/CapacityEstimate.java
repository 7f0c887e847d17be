package org.sequoiahub.core.concurrency;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many concurrent calls a runner accepts, as learned from its responses.
 *
 * <p>The estimate begins with the calls that were running when it began, grows by one at a time and
 * shrinks with each refusal. To grow it, one call more than the estimate is sent: at most one such
 * probe is in progress, so it costs at most one refusal.
 */
final class CapacityEstimate {

  /** How long the calls that are running when the estimate begins are taken as accepted (ms). */
  private static final long LEARNING_MILLIS = 500;

  /** A runner refuses a call at once; one without a refusal for this long was accepted (ms). */
  private static final long PROBE_MILLIS = 250;

  /** Pause after a probe that was refused (ms), doubled with each further one. */
  private static final long MIN_PROBE_PAUSE_MILLIS = 2_000;

  private static final long MAX_PROBE_PAUSE_MILLIS = 32_000;

  /** How long refusals count towards what a runner withstands per second (ms). */
  private static final long REFUSAL_WINDOW_MILLIS = 1_200;

  /** The time within which the issuer learns that a call was refused (ms). */
  private static final long NOTICE_MILLIS = 40;

  private final long startedMillis;
  private final Deque<Long> refusedMillis = new ArrayDeque<>();
  private final Deque<Long> issuedMillis = new ArrayDeque<>();
  private int capacity = 1;
  private boolean answered;
  private long probeSinceMillis = -1;
  private boolean probeUsed;
  private long probesFromMillis;
  private long probePauseMillis = MIN_PROBE_PAUSE_MILLIS;

  CapacityEstimate(long nowMillis) {
    startedMillis = nowMillis;
    probesFromMillis = nowMillis + LEARNING_MILLIS;
  }

  int capacity() {
    return capacity;
  }

  /** Returns how many refusals became known in the last second. */
  int recentRefusals(long nowMillis) {
    while (!refusedMillis.isEmpty()
        && nowMillis - refusedMillis.element() >= REFUSAL_WINDOW_MILLIS) {
      refusedMillis.remove();
    }
    return refusedMillis.size();
  }

  /** Applies the number of calls and unused permits that the hosts state. */
  void recordHeld(int held, long nowMillis) {
    if (nowMillis - startedMillis < LEARNING_MILLIS && refusedMillis.isEmpty()) {
      capacity = Math.max(capacity, held);
    }
    probeUsed |= isProbing() && held > capacity;
    if (isProbing() && nowMillis - probeSinceMillis >= PROBE_MILLIS) {
      if (probeUsed) {
        capacity++;
        probePauseMillis = MIN_PROBE_PAUSE_MILLIS;
      }
      endProbe();
    }
  }

  void recordAnswers() {
    answered = true;
  }

  /**
   * Applies refusals.
   *
   * @param held the calls and unused permits of all hosts, with those that were refused
   */
  void recordRefusals(int count, int held, long nowMillis) {
    int unexpected = count;
    if (isProbing()) {
      unexpected--;
      endProbe();
      probesFromMillis = nowMillis + probePauseMillis;
      probePauseMillis = Math.min(MAX_PROBE_PAUSE_MILLIS, 2 * probePauseMillis);
    }
    if (unexpected > 0) {
      int excess = Math.max(0, held - capacity);
      capacity = Math.max(1, Math.min(capacity, held) - Math.max(0, unexpected - excess));
      probesFromMillis = Math.max(probesFromMillis, nowMillis + REFUSAL_WINDOW_MILLIS);
    }
    for (int i = 0; i < count; i++) {
      refusedMillis.add(nowMillis);
    }
  }

  private boolean isProbing() {
    return probeSinceMillis >= 0;
  }

  private void endProbe() {
    probeSinceMillis = -1;
    probeUsed = false;
    answered = false;
  }

  /**
   * Returns how many permits may be issued now, while calls wait.
   *
   * @param held the calls and unused permits of all hosts
   * @param share the part of the capacity that this issuer may use, from 0 to 1
   * @param refusalsPerSecond how many refusals per second the runner withstands
   * @param safeCapacity up to which the capacity may grow if a refused probe might be too much
   */
  int issuable(int held, double share, double refusalsPerSecond, int safeCapacity, long nowMillis) {
    int shared = sharedCapacity(share);
    boolean probes = isProbing() || mayProbe(refusalsPerSecond, safeCapacity, nowMillis);
    int free = shared + (shared > 0 && probes ? 1 : 0) - held;
    return Math.max(0, Math.min(free, unprovenAllowance(refusalsPerSecond, nowMillis)));
  }

  /** Returns how many calls an issuer with a part of the capacity may allow. */
  private int sharedCapacity(double share) {
    int shared = (int) Math.floor(capacity * share);
    // Of two issuers, only one has more than half.
    return shared == 0 && share > 0.5 ? 1 : shared;
  }

  private boolean mayProbe(double refusalsPerSecond, int safeCapacity, long nowMillis) {
    return answered
        && nowMillis >= probesFromMillis
        && recentRefusals(nowMillis) == 0
        && (refusalsPerSecond >= 2 || capacity < safeCapacity);
  }

  /** Returns how many calls may be sent now of which it is not known whether they are refused. */
  private int unprovenAllowance(double refusalsPerSecond, long nowMillis) {
    while (!issuedMillis.isEmpty() && nowMillis - issuedMillis.element() >= NOTICE_MILLIS) {
      issuedMillis.remove();
    }
    int recent = recentRefusals(nowMillis);
    double withstood = recent == 0 ? Math.max(1, refusalsPerSecond) : refusalsPerSecond - recent;
    return (int) Math.min(Integer.MAX_VALUE, Math.max(0, withstood)) - issuedMillis.size();
  }

  /** Records a permit that is issued; one beyond the capacity is a probe. */
  void recordIssued(int heldBefore, double share, long nowMillis) {
    issuedMillis.add(nowMillis);
    if (!isProbing() && heldBefore >= sharedCapacity(share)) {
      probeSinceMillis = nowMillis;
      probeUsed = false;
    }
  }

  /**
   * Returns whether hosts may use permits again without asking: if all calls that end before a
   * refusal is known could be refused without harm.
   */
  boolean isReusable(
      int held, double share, double refusalsPerSecond, double intervalMillis, long nowMillis) {
    return recentRefusals(nowMillis) == 0
        && held <= sharedCapacity(share) + (isProbing() ? 1 : 0)
        && NOTICE_MILLIS / Math.max(1, intervalMillis) <= refusalsPerSecond - 1;
  }
}
