package org.sequoiahub.core.holding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how long an adapter takes to load that its runner still has in memory.
 *
 * <p>A reload that is late has two explanations: reloads take longer than estimated, or the runner
 * no longer had the adapter in memory. Once a reload was on time, the second one is assumed, until
 * several in a row are late.
 */
public final class ReloadTime {

  /** Consecutive late reloads after which the estimate is considered too short again. */
  private static final int MAX_CONSECUTIVE_LATE = 3;

  private long millis;
  private boolean confirmed;
  private int consecutiveLate;

  /**
   * Creates an estimate.
   *
   * @param initialMillis the estimate until a reload was observed (ms)
   */
  public ReloadTime(long initialMillis) {
    checkArgument(initialMillis > 0, "initialMillis must be above 0, was %s", initialMillis);
    this.millis = initialMillis;
  }

  /** Returns the expected reload time (ms). */
  public long millis() {
    return millis;
  }

  /** Returns whether a late reload probably means that reloads take longer than estimated. */
  boolean mayTakeLonger() {
    return !confirmed;
  }

  /** Records a reload that was late. */
  void recordLate() {
    if (++consecutiveLate >= MAX_CONSECUTIVE_LATE) {
      confirmed = false;
    }
  }

  /**
   * Records that an adapter was reloaded within a time.
   *
   * @param withinMillis the time since the order after which requests for it were served (ms)
   */
  void recordOnTime(long withinMillis) {
    confirmed = true;
    consecutiveLate = 0;
    millis = Math.max(millis, withinMillis);
  }
}
