package org.sequoiahub.core.runnerstate;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * A runner's statement that it leaves, as hosts tell each other.
 *
 * @param runner the key of the runner's incarnation
 * @param ageMillis how long ago a host received the first such response (ms)
 */
public record LeavingReport(String runner, long ageMillis) {

  /** Checks the arguments. */
  public LeavingReport {
    requireNonNull(runner, "runner must not be null");
    checkArgument(ageMillis >= 0, "ageMillis must not be negative, was %s", ageMillis);
  }
}
