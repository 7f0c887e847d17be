package org.sequoiahub.core.ratelimit;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * What a host learned about a runner's limit from one of the runner's responses, as hosts tell each
 * other.
 *
 * @param runner the key of the runner's incarnation
 * @param perSecond the limit (requests per second); {@link RunnerLimits#UNLIMITED} if the response
 *     stated none
 * @param source identifies the process that received the response
 * @param sequence the number of the observation among those of its source
 * @param ageMillis how long ago the response was received (ms)
 */
public record LimitReport(
    String runner, double perSecond, long source, long sequence, long ageMillis) {

  /** Checks the arguments. */
  public LimitReport {
    requireNonNull(runner, "runner must not be null");
    checkArgument(perSecond >= 0, "perSecond must not be negative, was %s", perSecond);
    checkArgument(ageMillis >= 0, "ageMillis must not be negative, was %s", ageMillis);
  }
}
