package org.sequoiahub.core.concurrency;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the issuer of run permits tells a host about one runner.
 *
 * @param runner the key of the runner's incarnation
 * @param granted how many permits the issuer has granted to the host so far, counted on from the
 *     number that the host stated: a lost grant is made up for by the next one
 * @param waitMillis the expected time until all demands for the runner are satisfied (ms)
 * @param intervalMillis the expected time between two permits for the runner (ms)
 * @param reusable whether the host may use a permit again when its call has ended
 * @param capacity how many calls of all hosts the runner is known to accept
 * @param held how many calls and unused permits all hosts have there
 */
public record RunGrant(
    String runner,
    long granted,
    long waitMillis,
    long intervalMillis,
    boolean reusable,
    int capacity,
    int held) {

  /** Checks the arguments. */
  public RunGrant {
    checkArgument(!runner.isEmpty(), "runner must not be empty");
    checkArgument(granted >= 0, "granted must not be negative, was %s", granted);
    checkArgument(waitMillis >= 0, "waitMillis must not be negative, was %s", waitMillis);
    checkArgument(
        intervalMillis >= 0, "intervalMillis must not be negative, was %s", intervalMillis);
  }
}
