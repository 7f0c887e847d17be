package org.sequoiahub.node.store;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The timing of the watches of a prefix.
 *
 * <p>A watch that the store or the network lost looks like one that is waiting, and hides every
 * change until it times out. The delays that can follow each other before a change is known must
 * therefore add up to less than the time within which it must be known; see {@link
 * #longestDelayMillis}.
 *
 * @param holdMillis how long the store may hold a watch
 * @param answerTimeoutMillis how long an answer may take beyond the hold before the call counts as
 *     lost
 * @param meanProbeIntervalMillis the mean interval between calls while the store does not answer
 * @param minIntervalMillis the minimum interval between the starts of watches: each call has a
 *     cost, and the changes of one interval are returned by one call
 */
public record WatchTiming(
    long holdMillis,
    long answerTimeoutMillis,
    long meanProbeIntervalMillis,
    long minIntervalMillis) {

  private static final double HOLD_FRACTION = 0.4;
  private static final double ANSWER_FRACTION = 0.25;
  private static final double PROBE_INTERVAL_FRACTION = 0.2;

  /** Probe intervals vary by up to this fraction of the mean in both directions. */
  private static final double PROBE_INTERVAL_SPREAD = 0.25;

  /**
   * Checks that the hold, the timeout and the probe interval are above 0 and the minimum interval
   * is not negative. Whether they add up to less than a bound is not checked; see {@link #within}.
   */
  public WatchTiming {
    checkArgument(holdMillis > 0, "holdMillis must be above 0, was %s", holdMillis);
    checkArgument(
        answerTimeoutMillis > 0,
        "answerTimeoutMillis must be above 0, was %s",
        answerTimeoutMillis);
    checkArgument(
        meanProbeIntervalMillis > 0,
        "meanProbeIntervalMillis must be above 0, was %s",
        meanProbeIntervalMillis);
    checkArgument(
        minIntervalMillis >= 0,
        "minIntervalMillis must not be negative, was %s",
        minIntervalMillis);
  }

  /**
   * Returns a timing with which a change is known within a bound even if a watch and the first call
   * after it are lost.
   *
   * @param boundMillis the time within which a change must be known
   */
  public static WatchTiming within(long boundMillis, long minIntervalMillis) {
    return new WatchTiming(
        Math.max(1, (long) (boundMillis * HOLD_FRACTION) - minIntervalMillis),
        Math.max(1, (long) (boundMillis * ANSWER_FRACTION)),
        Math.max(1, (long) (boundMillis * PROBE_INTERVAL_FRACTION)),
        minIntervalMillis);
  }

  /**
   * Returns the interval until the next call while the store does not answer (ms).
   *
   * @param draw a uniformly distributed random number from 0 to 1
   */
  long probeIntervalMillis(double draw) {
    return Math.round(
        meanProbeIntervalMillis * (1 - PROBE_INTERVAL_SPREAD + 2 * PROBE_INTERVAL_SPREAD * draw));
  }

  /**
   * Returns how long ago the store may have answered the hosts on which another host relies (ms).
   * In the absence of faults their watches, and a probe interval for their statements, take less.
   * After this time a host asks the store itself.
   */
  public long relianceMillis() {
    return minIntervalMillis + holdMillis + meanProbeIntervalMillis;
  }

  /**
   * Returns the longest time from a change until a host knows it that relies on others, if the
   * store does not answer these (ms): the host asks the store within a probe interval.
   *
   * @param tickMillis the longest time between two ticks of that host
   * @param answerMillis as for {@link #longestDelayMillis}
   */
  long longestReliantDelayMillis(long tickMillis, long answerMillis) {
    return relianceMillis() + meanProbeIntervalMillis + tickMillis + answerMillis;
  }

  /**
   * Returns the longest time from a change until this host knows it if a watch and the call after
   * it are lost (ms): the minimum interval passes before the watch, which times out, then one probe
   * interval, and the next call is answered.
   *
   * @param tickMillis the longest time between two ticks of the follower
   * @param answerMillis the longest time until a call that the store does not hold is answered
   */
  long longestDelayMillis(long tickMillis, long answerMillis) {
    return minIntervalMillis
        + holdMillis
        + answerTimeoutMillis
        + tickMillis
        + probeIntervalMillis(1)
        + tickMillis
        + answerMillis;
  }
}
