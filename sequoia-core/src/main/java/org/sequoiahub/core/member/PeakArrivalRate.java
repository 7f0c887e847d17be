package org.sequoiahub.core.member;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The rate of the busiest of the latest seconds, in requests per second.
 *
 * <p>The maximum is used rather than the mean, so that what is planned by it does not follow every
 * short pause.
 */
public final class PeakArrivalRate {

  private static final long SECOND_MILLIS = 1_000;

  private final int[] counts;
  private long newestSecond = Long.MIN_VALUE / 2;

  /**
   * Creates a rate without arrivals.
   *
   * @param seconds how many whole seconds are remembered in addition to the current one
   */
  public PeakArrivalRate(int seconds) {
    checkArgument(seconds > 0, "seconds must be above 0, was %s", seconds);
    this.counts = new int[seconds + 1];
  }

  /** Counts an arrival. */
  public void recordArrival(long nowMillis) {
    advance(nowMillis);
    counts[slot(newestSecond)]++;
  }

  /** Returns the number of arrivals in the busiest second. */
  public int perSecond(long nowMillis) {
    advance(nowMillis);
    int max = 0;
    for (int count : counts) {
      max = Math.max(max, count);
    }
    return max;
  }

  private void advance(long nowMillis) {
    long second = Math.floorDiv(nowMillis, SECOND_MILLIS);
    long first = Math.max(newestSecond + 1, second - counts.length + 1);
    for (long next = first; next <= second; next++) {
      counts[slot(next)] = 0;
    }
    newestSecond = Math.max(newestSecond, second);
  }

  private int slot(long second) {
    return (int) Math.floorMod(second, (long) counts.length);
  }
}
