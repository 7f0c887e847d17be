package org.sequoiahub.core.dispatch;

/**
 * Measures for how long a stream has been silent while this host was able to receive it.
 *
 * <p>A host that was suspended or overloaded finds the events of its streams late, after it has
 * found the time passed. Of the time between two checks, at most {@link #MAX_STEP_MILLIS} counts as
 * silence.
 */
public final class SilenceTimer {

  /** Longest time between two checks that counts in full (ms). */
  public static final long MAX_STEP_MILLIS = 100;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long progressMillis = NEVER;
  private long checkedMillis = NEVER;
  private long silentMillis;

  /** Creates a timer that has counted no silence. */
  public SilenceTimer() {}

  /**
   * Records a check and returns for how long the stream has been silent (ms).
   *
   * @param lastProgressMillis when a part of the stream was last received, or when it was requested
   */
  public long check(long lastProgressMillis, long nowMillis) {
    long since = lastProgressMillis;
    if (lastProgressMillis == progressMillis) {
      since = checkedMillis;
    } else {
      progressMillis = lastProgressMillis;
      silentMillis = 0;
    }
    silentMillis += Math.min(MAX_STEP_MILLIS, Math.max(0, nowMillis - since));
    checkedMillis = nowMillis;
    return silentMillis;
  }
}
