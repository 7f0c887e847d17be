package org.sequoiahub.node.store;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The timing of the watches of a prefix.
 *
 * <p>A watch that the store or the network lost looks like one that is waiting, and hides every
 * change until it times out. The hold and the timeout of its answer must therefore add up to less
 * than the time within which a change must be known.
 *
 * @param holdMillis how long the store may hold a watch
 * @param answerTimeoutMillis how long an answer may take beyond the hold before the call counts as
 *     lost
 * @param minIntervalMillis the minimum interval between the starts of watches: each call has a
 *     cost, and the changes of one interval are returned by one call
 */
public record WatchTiming(long holdMillis, long answerTimeoutMillis, long minIntervalMillis) {

  private static final int HOLD_DIVISOR = 2;
  private static final int ANSWER_DIVISOR = 4;

  /**
   * Checks that the hold and the timeout are above 0 and the interval is not negative. Whether the
   * hold and the timeout add up to less than a bound is not checked; see {@link #within}.
   */
  public WatchTiming {
    checkArgument(holdMillis > 0, "holdMillis must be above 0, was %s", holdMillis);
    checkArgument(
        answerTimeoutMillis > 0,
        "answerTimeoutMillis must be above 0, was %s",
        answerTimeoutMillis);
    checkArgument(
        minIntervalMillis >= 0,
        "minIntervalMillis must not be negative, was %s",
        minIntervalMillis);
  }

  /**
   * Returns a timing with which a lost watch is detected and repeated within a bound: half of it is
   * for the hold, a quarter for the answer, and the rest for the next call and for informing other
   * hosts.
   *
   * @param boundMillis the time within which a change must be known
   */
  public static WatchTiming within(long boundMillis, long minIntervalMillis) {
    return new WatchTiming(
        Math.max(1, boundMillis / HOLD_DIVISOR),
        Math.max(1, boundMillis / ANSWER_DIVISOR),
        minIntervalMillis);
  }
}
