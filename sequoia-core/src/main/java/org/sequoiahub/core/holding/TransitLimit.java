package org.sequoiahub.core.holding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how many adapters may be in transit from the weight store before each load takes
 * longer.
 *
 * <p>No record states this limit; known deployments specify 8 for 8 and 13 runners, 16 for 6, 32
 * for 42 and 40 for 63. If it is too low, requests queue in front of a half-idle store. If it is
 * too high, the store shares its bandwidth among all loads and every one of them is late.
 *
 * <p>The limit therefore grows while loads that were started at the limit finish on time, quickly
 * until the first one is late and slowly from then on, and shrinks when one is late.
 */
public final class TransitLimit {

  /** Growth per load on time before the first late load; doubles a limit of 8 in 8 loads. */
  private static final double FAST_STEP = 1;

  /**
   * Growth per load on time after the first late load. Exceeding by one what the store loads at
   * full speed makes all loads in transit late, 17 of them where 16 fit; probing once in 500 loads
   * makes three loads in a hundred late.
   */
  private static final double SLOW_STEP = 0.002;

  private final double minLimit;
  private final double maxLimit;
  private double limit;
  private boolean lateSeen;
  private long loweredMillis = Long.MIN_VALUE;

  /**
   * Creates an estimate.
   *
   * @param minLimit the initial value and lower bound of the limit
   * @param maxLimit the maximum number of adapters that can be in transit
   */
  public TransitLimit(int minLimit, int maxLimit) {
    checkArgument(minLimit > 0, "minLimit must be above 0, was %s", minLimit);
    this.minLimit = minLimit;
    this.maxLimit = Math.max(minLimit, maxLimit);
    this.limit = minLimit;
  }

  /** Returns the current estimate of the limit. */
  public int limit() {
    return (int) limit;
  }

  /**
   * Records that a load finished on time.
   *
   * @param transit how many adapters were in transit when it was ordered, including itself
   */
  public void recordOnTime(int transit) {
    if (transit >= limit - 1) {
      limit = Math.min(maxLimit, limit + (lateSeen ? SLOW_STEP : FAST_STEP));
    }
  }

  /**
   * Records that a load did not finish on time.
   *
   * <p>All loads in transit are late together, so only a load that was ordered after the limit was
   * last lowered lowers it again.
   *
   * @param transit how many adapters were in transit when it was ordered, including itself
   * @param orderedMillis when it was ordered (ms)
   * @return whether too many adapters in transit explain the delay
   */
  public boolean recordLate(int transit, long orderedMillis, long nowMillis) {
    if (transit <= minLimit) {
      return false;
    }
    lateSeen = true;
    if (orderedMillis >= loweredMillis) {
      loweredMillis = nowMillis;
      limit = Math.max(minLimit, (int) limit - 1);
    }
    return true;
  }
}
