package org.sequoiahub.core.member;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many requests a second came lately: the most of the seconds that are remembered.
 *
 * <p>The most and not the mean, so that what is planned by it does not follow each short calm.
 */
public final class PeakArrivalRate {

  private static final long SECOND_MILLIS = 1_000;

  private final int[] counts;
  private long newestSecond = Long.MIN_VALUE / 2;

  /**
   * Creates a rate of nothing.
   *
   * @param seconds how many whole seconds are remembered besides the present one
   */
  public PeakArrivalRate(int seconds) {
    checkArgument(seconds > 0, "seconds must be above 0, was %s", seconds);
    this.counts = new int[seconds + 1];
  }

  /** Counts a request. */
  public void recordArrival(long nowMillis) {
    advance(nowMillis);
    counts[slot(newestSecond)]++;
  }

  /** Returns the requests of the busiest second. */
  public int perSecond(long nowMillis) {
    advance(nowMillis);
    int most = 0;
    for (int count : counts) {
      most = Math.max(most, count);
    }
    return most;
  }

  private void advance(long nowMillis) {
    long second = Math.floorDiv(nowMillis, SECOND_MILLIS);
    long first = Math.max(newestSecond + 1, second - counts.length + 1);
    for (long passed = first; passed <= second; passed++) {
      counts[slot(passed)] = 0;
    }
    newestSecond = Math.max(newestSecond, second);
  }

  private int slot(long second) {
    return (int) Math.floorMod(second, (long) counts.length);
  }
}
