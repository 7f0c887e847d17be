package org.sequoiahub.core.ratelimit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The permits for one runner that a host waits for.
 *
 * @param runner the key of the runner's incarnation
 * @param priority the priority of the calls; lower ones get permits first
 * @param permits the number of permits
 */
public record PermitDemand(String runner, int priority, int permits) {

  /** Checks the arguments. */
  public PermitDemand {
    checkArgument(!runner.isEmpty(), "runner must not be empty");
    checkArgument(permits > 0, "permits must be above 0, was %s", permits);
  }
}
