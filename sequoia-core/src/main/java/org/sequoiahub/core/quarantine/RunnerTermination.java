package org.sequoiahub.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One runner's end while it ran a request. Times are of this host's monotonic clock.
 *
 * @param request the fingerprint of the request
 * @param runner the hash of the runner's incarnation
 * @param startedMillis when the request was sent to that runner
 * @param endedMillis when its connection broke, or when it was given up as silent
 * @param responseStarted whether the runner had begun to answer: the request did not end it at its
 *     start
 * @param confirmed whether the end of the process is proved; a broken connection alone is only a
 *     sign of it
 */
public record RunnerTermination(
    long request,
    long runner,
    long startedMillis,
    long endedMillis,
    boolean responseStarted,
    boolean confirmed) {

  /** Checks that the attempt did not end before it started. */
  public RunnerTermination {
    checkArgument(
        startedMillis <= endedMillis,
        "startedMillis must not be after endedMillis, was %s and %s",
        startedMillis,
        endedMillis);
  }

  /** Returns the same end as a proved one. */
  public RunnerTermination asConfirmed() {
    return new RunnerTermination(
        request, runner, startedMillis, endedMillis, responseStarted, true);
  }
}
