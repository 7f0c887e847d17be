package org.sequoiahub.core.ratelimit;

/** For which runners a call needs a permit, and how often permits for one become available. */
public interface PermitTerms {

  /**
   * Returns whether a call to a runner needs a permit.
   *
   * @param runner the key of the runner's incarnation
   */
  boolean isLimited(String runner);

  /** Returns the expected time between two permits for a runner that needs them (ms). */
  double intervalMillis(String runner);

  /** Returns whether a call must be sent to find out whether a runner still needs permits. */
  boolean isOutdated(String runner, long nowMillis);
}
