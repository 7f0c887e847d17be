package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Allows retries only as a share of first attempts.
 *
 * <p>When everything fails, unbounded retries multiply the load on what is left; the sign is an
 * attempt rate far above the request rate. A share bounds that factor whatever fails.
 */
public final class RetryBudget {

  private static final double MAX_RETRIES = 100;
  private static final double INITIAL_RETRIES = 10;

  private final double ratio;
  private double available = INITIAL_RETRIES;

  /**
   * Creates a budget.
   *
   * @param share retries for each first attempt, from 0 to 1
   */
  public RetryBudget(double share) {
    checkArgument(share >= 0 && share <= 1, "share must be from 0 to 1, was %s", share);
    this.ratio = share;
  }

  /** Counts a first attempt. */
  public void recordFirstAttempt() {
    available = Math.min(MAX_RETRIES, available + ratio);
  }

  /** Takes one retry from the budget; false if none is left. */
  public boolean tryAcquireRetry() {
    if (ratio == 0 || available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
