package org.sequoiahub.node.store;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long the watches of a prefix take.
 *
 * <p>A watch that the store or the network lost looks like one that waits, and hides every change
 * until it is given up. So the store may hold it, and be late with it, for less than the time in
 * which a change must be known.
 *
 * @param holdMillis how long the store may hold a watch
 * @param answerTimeoutMillis an answer that is so late means a lost call
 * @param minIntervalMillis watches start at least this far apart: each call has a price, and the
 *     changes of one pause come with one call
 */
public record WatchTiming(long holdMillis, long answerTimeoutMillis, long minIntervalMillis) {

  private static final int HOLD_DIVISOR = 2;
  private static final int PATIENCE_DIVISOR = 4;

  /** Checks that a watch can be answered in time. */
  public WatchTiming {
    checkArgument(holdMillis > 0, "holdMillis must be above 0, was %s", holdMillis);
    checkArgument(answerTimeoutMillis > 0, "patienceMillis must be above 0, was %s", answerTimeoutMillis);
    checkArgument(minIntervalMillis >= 0, "spacingMillis must not be negative, was %s", minIntervalMillis);
  }

  /**
   * Returns times with which a lost watch is noticed and repeated within a bound: half of it for
   * the hold, a quarter for the answer, the rest for the next call and for telling other hosts.
   *
   * @param boundMillis the time in which a change must be known
   */
  public static WatchTiming within(long boundMillis, long spacingMillis) {
    return new WatchTiming(
        Math.max(1, boundMillis / HOLD_DIVISOR),
        Math.max(1, boundMillis / PATIENCE_DIVISOR),
        spacingMillis);
  }
}
