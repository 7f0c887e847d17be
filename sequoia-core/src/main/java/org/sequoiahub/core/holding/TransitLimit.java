package org.sequoiahub.core.holding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many adapters may be on their way from the weight store before each takes longer, learnt from
 * the loads themselves.
 *
 * <p>No record says it: the users' sheets have 8 for 8 and 13 runners, 16 for 6, 32 for 42 and 40
 * for 63. Set too low, requests queue before a store that is half idle: of 55 rare adapters a
 * second and a store that brings 16 at once, half wait over 1,000 ms with a limit of 8 and under
 * 400 ms with the learnt one (played in virtual time). Set too high, the store shares its speed
 * among all and every load is late.
 *
 * <p>So the limit grows while loads that were started at the limit come in time, quickly until the
 * first one is late and slowly from then on, and falls back when one is late.
 */
public final class TransitLimit {

  /** Growth for each load in time before the first late one: doubles 8 in 8 loads. */
  private static final double FAST_STEP = 1;

  /**
   * Growth after it. One more than the store brings at full speed makes all that are on their way
   * late, 17 of them where 16 fit; tried once in 500 loads these are three in a hundred.
   */
  private static final double SLOW_STEP = 0.002;

  private final double minLimit;
  private final double maxLimit;
  private double limit;
  private boolean lateSeen;
  private long loweredMillis = Long.MIN_VALUE;

  /**
   * Creates a limit.
   *
   * @param least where it starts, and the least that is ever believed
   * @param most the most that can be on their way at all
   */
  public TransitLimit(int least, int most) {
    checkArgument(least > 0, "least must be above 0, was %s", least);
    this.minLimit = least;
    this.maxLimit = Math.max(least, most);
    this.limit = least;
  }

  /** Returns the limit. */
  public int limit() {
    return (int) limit;
  }

  /** Records that a load was there when it was expected. */
  public void recordOnTime(int transit) {
    if (transit >= limit - 1) {
      limit = Math.min(maxLimit, limit + (lateSeen ? SLOW_STEP : FAST_STEP));
    }
  }

  /**
   * Records that a load was not there when it was expected; returns whether the limit explains it.
   *
   * <p>All loads on their way are late together, so only one ordered since the limit was lowered
   * lowers it again.
   *
   * @param transit how many were on their way when it was ordered, itself included
   * @param orderedMillis when it was ordered
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
