package org.sequoiahub.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The termination of a runner while it processed a request.
 *
 * <p>What the request has in common with others is recorded like the request itself, under a
 * fingerprint of its own: the load of an adapter, and each part of the prompt but the last.
 *
 * <p>Times are of this host's monotonic clock.
 *
 * @param request the fingerprint of the request, of the load or of the prompt part
 * @param runner the hash of the runner's incarnation
 * @param startedMillis when the request was sent to the runner
 * @param endedMillis when the connection broke, or when the attempt was abandoned because the
 *     runner was silent
 * @param responseStarted whether the runner had started to respond, so that the request did not
 *     terminate it at the start of processing
 * @param confirmed whether the process is known to have terminated; a broken connection alone does
 *     not confirm that
 * @param partPosition the position of the prompt part in its prompt, from 1; 0 for a request or a
 *     load
 * @param knownGood whether requests with the prompt part had recently been served when a host
 *     reported the termination; false for a request or a load
 */
public record RunnerTermination(
    long request,
    long runner,
    long startedMillis,
    long endedMillis,
    boolean responseStarted,
    boolean confirmed,
    int partPosition,
    boolean knownGood) {

  /** Checks that the attempt did not end before it started. */
  public RunnerTermination {
    checkArgument(
        startedMillis <= endedMillis,
        "startedMillis must not be after endedMillis, was %s and %s",
        startedMillis,
        endedMillis);
  }

  /** Creates the termination of a runner while it processed a request or a load. */
  public RunnerTermination(
      long request,
      long runner,
      long startedMillis,
      long endedMillis,
      boolean responseStarted,
      boolean confirmed) {
    this(request, runner, startedMillis, endedMillis, responseStarted, confirmed, 0, false);
  }

  /** Returns this termination as recorded for a part of the request's prompt. */
  public RunnerTermination ofPart(long part, int position, boolean isKnownGood) {
    return new RunnerTermination(
        part,
        runner,
        startedMillis,
        endedMillis,
        responseStarted,
        confirmed,
        position,
        isKnownGood);
  }

  /** Returns whether it is recorded for a prompt part. */
  public boolean isOfPart() {
    return partPosition > 0;
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
        confirmed || report.confirmed,
        Math.max(partPosition, report.partPosition),
        knownGood || report.knownGood);
  }

  /** Returns this termination as a confirmed one. */
  public RunnerTermination asConfirmed() {
    return new RunnerTermination(
        request,
        runner,
        startedMillis,
        endedMillis,
        responseStarted,
        true,
        partPosition,
        knownGood);
  }
}
