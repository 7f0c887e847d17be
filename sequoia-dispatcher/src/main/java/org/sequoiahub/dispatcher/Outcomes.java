package org.sequoiahub.dispatcher;

import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;

/** Builds the outcome that ends a call. */
final class Outcomes {

  private static final int OK = 200;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private Outcomes() {}

  static Outcome.Builder complete(long chunks) {
    return Outcome.newBuilder()
        .setVerdict(RunVerdict.RAN)
        .setComplete(true)
        .setStatus(OK)
        .setChunks(chunks);
  }

  static Outcome.Builder of(Verdict verdict) {
    return verdict.fold(
        Outcomes::notRun,
        ran -> failed(RunVerdict.RAN, "not-whole", "the response is incomplete"),
        mayHaveRun -> failed(RunVerdict.MAY_HAVE_RUN, mayHaveRun.reason(), mayHaveRun.message()));
  }

  static Outcome.Builder ranButFailed(String reason, String message) {
    return failed(RunVerdict.RAN, reason, message);
  }

  static Envelope.Builder envelope(Outcome.Builder outcome) {
    return Envelope.newBuilder().setOutcome(outcome);
  }

  private static Outcome.Builder notRun(NotRun refusal) {
    boolean deadlinePassed = refusal.reason().equals("deadline-passed");
    return Outcome.newBuilder()
        .setVerdict(RunVerdict.NOT_RUN)
        .setStatus(deadlinePassed ? GATEWAY_TIMEOUT : UNAVAILABLE)
        .setReason(refusal.reason())
        .setMessage(refusal.message())
        .setRetryAfterMs(refusal.retryAfterMillis());
  }

  private static Outcome.Builder failed(RunVerdict verdict, String reason, String message) {
    return Outcome.newBuilder()
        .setVerdict(verdict)
        .setStatus(BAD_GATEWAY)
        .setReason(reason)
        .setMessage(message);
  }
}
