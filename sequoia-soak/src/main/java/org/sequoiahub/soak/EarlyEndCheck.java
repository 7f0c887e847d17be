package org.sequoiahub.soak;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sequoiahub.usersplatform.standin.StandinRunner.Suspension;

/**
 * Checks that no response in progress is ended early although its runner would have ended it in
 * time.
 */
final class EarlyEndCheck {

  /**
   * The time by which a run must end before its caller's deadline to count: covers delayed
   * connections and a busy machine.
   */
  private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Responses that end later than this before the deadline count as ended by the deadline. */
  private static final long DEADLINE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private EarlyEndCheck() {}

  /**
   * A run of a request at a runner.
   *
   * @param runner the id of the runner
   * @param endNanos when the run ends at the latest if nobody breaks it off
   * @param pieces the number of pieces that it made of the response
   * @param interrupted whether an injected fault broke it off
   */
  record Run(String runner, long endNanos, int pieces, boolean interrupted) {}

  /**
   * Returns when a run ends at the latest if nobody breaks it off.
   *
   * @param startNanos when it started
   * @param workNanos how long it takes without a suspension of its runner
   * @param suspensions the suspensions of its runner, in the order of their starts
   */
  static long endNanos(long startNanos, long workNanos, List<Suspension> suspensions) {
    long end = startNanos + workNanos;
    for (Suspension suspension : suspensions) {
      if (suspension.fromNanos() - end < 0 && suspension.untilNanos() - startNanos > 0) {
        long from = Math.max(0, suspension.fromNanos() - startNanos);
        end += suspension.untilNanos() - startNanos - from;
      }
    }
    return end;
  }

  /**
   * Returns a description of the violation; empty if there is none.
   *
   * @param runs the runs of the request
   * @param hostInterrupted whether an injected fault ended the host's process meanwhile
   */
  static Optional<String> violation(
      RequestResult request, List<Run> runs, boolean hostInterrupted) {
    long deadline = request.sentNanos() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    boolean ended = request.endedNanos() - deadline < -DEADLINE_MARGIN_NANOS;
    // A run that another one took over from was given up rightly, whatever became of the latter.
    boolean takenOver = runs.stream().anyMatch(run -> run.interrupted() && run.pieces() > 0);
    if (request.status() == 200 || !ended || hostInterrupted || takenOver) {
      return Optional.empty();
    }
    return runs.stream()
        .filter(run -> !run.interrupted() && run.endNanos() + TOLERANCE_NANOS - deadline <= 0)
        .findFirst()
        .map(
            run ->
                ("%s (%s, status %d, %s) was ended at %s after %d ms,"
                        + " but %s would have ended it after %d ms")
                    .formatted(
                        request.id(),
                        request.kind(),
                        request.status(),
                        request.failure(),
                        request.host(),
                        millis(request.endedNanos() - request.sentNanos()),
                        run.runner(),
                        millis(run.endNanos() - request.sentNanos())));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
