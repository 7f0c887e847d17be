package org.sequoiahub.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How fast a runner works.
 *
 * @param prefillTokensPerMilli the prompt tokens that it reads per millisecond at its usual pace
 * @param serviceMillis the time of a plain call at its usual pace while no other is in progress
 *     (ms)
 * @param pace how long work currently takes on its machine, as a multiple of the usual time
 * @param fullnessSlowdown by which fraction a plain call takes longer if all slots are in use
 */
public record RunnerSpeed(
    double prefillTokensPerMilli, double serviceMillis, double pace, double fullnessSlowdown) {

  /**
   * The speed assumed where nothing is estimated.
   *
   * <p>The reading speed is the specified one of known deployments (38.7 and 38.4 tokens per
   * millisecond) less a tenth for the steps in between. Deployments specify 21 to 86 ms for plain
   * calls.
   */
  public static final RunnerSpeed DEFAULT = new RunnerSpeed(35, 40, 1, 0.3);

  /** Checks the arguments. */
  public RunnerSpeed {
    checkArgument(
        prefillTokensPerMilli > 0,
        "prefillTokensPerMilli must be positive, was %s",
        prefillTokensPerMilli);
    checkArgument(serviceMillis > 0, "serviceMillis must be positive, was %s", serviceMillis);
    checkArgument(pace > 0, "pace must be positive, was %s", pace);
    checkArgument(
        fullnessSlowdown >= 0, "fullnessSlowdown must not be negative, was %s", fullnessSlowdown);
  }

  /** Returns the number of prompt tokens that the runner currently reads per millisecond. */
  public double currentTokensPerMilli() {
    return prefillTokensPerMilli / pace;
  }

  /** Returns the current time of a plain call while no other is in progress (ms). */
  public double currentServiceMillis() {
    return serviceMillis * pace;
  }

  /** Returns whether this is an estimate, and not {@link #DEFAULT}. */
  public boolean isEstimated() {
    return !equals(DEFAULT);
  }
}
