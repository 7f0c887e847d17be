package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries to a ratio of first attempts.
 *
 * <p>When everything fails, unlimited retries multiply the load on the remaining capacity; the
 * symptom is an attempt rate far above the request rate. A ratio bounds that factor whatever fails.
 */
public final class RetryBudget {

  private static final double MAX_RETRIES = 100;
  private static final double INITIAL_RETRIES = 10;

  private final double ratio;
  private double available = INITIAL_RETRIES;

  /**
   * Creates a budget.
   *
   * @param ratio the retries earned by each first attempt, from 0 to 1
   */
  public RetryBudget(double ratio) {
    checkArgument(ratio >= 0 && ratio <= 1, "ratio must be from 0 to 1, was %s", ratio);
    this.ratio = ratio;
  }

  /** Counts a first attempt, which earns a fraction of a retry. */
  public void recordFirstAttempt() {
    available = Math.min(MAX_RETRIES, available + ratio);
  }

  /** Acquires one retry; returns false if none is left. */
  public boolean tryAcquireRetry() {
    if (ratio == 0 || available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
