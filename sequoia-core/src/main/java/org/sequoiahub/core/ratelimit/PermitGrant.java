package org.sequoiahub.core.ratelimit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The reply to a host's demand for permits for one runner.
 *
 * @param runner the key of the runner's incarnation
 * @param permits the number of permits granted, possibly 0
 * @param waitMillis the expected time until all demands for the runner are satisfied (ms)
 */
public record PermitGrant(String runner, int permits, long waitMillis) {

  /** Checks the arguments. */
  public PermitGrant {
    checkArgument(!runner.isEmpty(), "runner must not be empty");
    checkArgument(permits >= 0, "permits must not be negative, was %s", permits);
    checkArgument(waitMillis >= 0, "waitMillis must not be negative, was %s", waitMillis);
  }
}
