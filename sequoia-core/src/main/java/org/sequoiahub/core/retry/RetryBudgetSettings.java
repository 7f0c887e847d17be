package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings for how many retries all hosts together may send to the runners of one service.
 *
 * @param ratio the retries allowed for each request
 * @param allowance the retries allowed in addition
 * @param windowMillis the window in which requests and retries are counted
 */
public record RetryBudgetSettings(double ratio, double allowance, long windowMillis) {

  /** Checks the arguments. */
  public RetryBudgetSettings {
    checkArgument(ratio >= 0, "ratio must not be negative, was %s", ratio);
    checkArgument(allowance >= 0, "allowance must not be negative, was %s", allowance);
    checkArgument(windowMillis > 0, "windowMillis must be above 0, was %s", windowMillis);
  }
}
