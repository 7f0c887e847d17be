package org.sequoiahub.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The termination of a runner while it processed a request.
 *
 * <p>Times are of this host's monotonic clock.
 *
 * @param request the fingerprint of the request
 * @param runner the hash of the runner's incarnation
 * @param startedMillis when the request was sent to the runner
 * @param endedMillis when the connection broke, or when the attempt was abandoned because the
 *     runner was silent
 * @param responseStarted whether the runner had started to respond, so that the request did not
 *     terminate it at the start of processing
 * @param confirmed whether the process is known to have terminated; a broken connection alone does
 *     not confirm that
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

  /**
   * Returns this termination with the earlier times of two reports of it, confirmed if either is.
   */
  RunnerTermination mergedWith(RunnerTermination report) {
    RunnerTermination earlier = report.endedMillis < endedMillis ? report : this;
    return new RunnerTermination(
        request,
        runner,
        earlier.startedMillis,
        earlier.endedMillis,
        responseStarted,
        confirmed || report.confirmed);
  }

  /** Returns this termination as a confirmed one. */
  public RunnerTermination asConfirmed() {
    return new RunnerTermination(
        request, runner, startedMillis, endedMillis, responseStarted, true);
  }
}
