package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Allows retries only as a share of first attempts.
 *
 * <p>When everything fails, unbounded retries multiply the load on what is left; the sign is an
 * attempt rate far above the request rate. A share bounds that factor whatever fails.
 */
public final class RetryBudget {

  private static final double MAX_SAVED = 100;
  private static final double FIRST_SAVED = 10;

  private final double share;
  private double saved = FIRST_SAVED;

  /**
   * Creates a budget.
   *
   * @param share retries for each first attempt, from 0 to 1
   */
  public RetryBudget(double share) {
    checkArgument(share >= 0 && share <= 1, "share must be from 0 to 1, was %s", share);
    this.share = share;
  }

  /** Counts a first attempt. */
  public void firstAttempt() {
    saved = Math.min(MAX_SAVED, saved + share);
  }

  /** Takes one retry from the budget; false if none is left. */
  public boolean tryRetry() {
    if (share == 0 || saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
