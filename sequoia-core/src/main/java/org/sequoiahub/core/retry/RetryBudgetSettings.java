package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings for how many retries all hosts together may send to the runners of one service.
 *
 * <p>Each process allows only a fraction of these retries; see {@link SharedRetryBudget}.
 *
 * @param ratio the retries for each request in the window (0.1 is one for ten requests), 0 or more
 * @param allowance the additional retries in the window, which all hosts share, 0 or more
 * @param windowMillis the window in which requests and retries are counted (ms), above 0
 */
public record RetryBudgetSettings(double ratio, double allowance, long windowMillis) {

  /** Checks the arguments. */
  public RetryBudgetSettings {
    checkArgument(ratio >= 0, "ratio (retries per request) must not be negative, was %s", ratio);
    checkArgument(
        allowance >= 0,
        "allowance (additional retries per window) must not be negative, was %s",
        allowance);
    checkArgument(windowMillis > 0, "windowMillis must be above 0, was %s", windowMillis);
  }
}
