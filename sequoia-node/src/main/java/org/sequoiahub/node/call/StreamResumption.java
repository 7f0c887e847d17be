package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.Random;
import org.sequoiahub.core.origin.ResumeDecision;
import org.sequoiahub.core.origin.ResumePolicy;
import org.sequoiahub.core.origin.StreamKey;
import org.sequoiahub.core.origin.StreamOrigin;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.node.origin.OriginLookup;
import org.sequoiahub.node.origin.OriginRecorder;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/**
 * Keeps each stream at runners of the software version at which it began, over the attempts of this
 * host and those of its caller.
 *
 * <p>Its methods must be called on the decision thread.
 */
final class StreamResumption {

  private final FleetView fleet;
  private final ResumePolicy policy;
  private final OriginLookup lookup;
  private final OriginRecorder recorder;
  private final Placer placer;
  private final MetricRegistry metrics;
  private final EventLog log;

  /** Places a request whose stream's origin has been answered. */
  @FunctionalInterface
  interface Placer {
    void place(Call call);
  }

  /**
   * The answer to the question where a stream began.
   *
   * @param origin the origin; empty if no host knows it
   */
  record OriginAnswer(Optional<StreamOrigin> origin) {}

  /** Whether a request may be placed. */
  sealed interface Readiness {

    /** It may be placed at runners that it admits. */
    record Ready() implements Readiness {}

    /** It is placed once it is known where its stream may go on. */
    record Waiting() implements Readiness {}

    /**
     * It must be refused.
     *
     * @param reason the reason, for a human reader
     */
    record Refused(String reason) implements Readiness {}
  }

  StreamResumption(
      FleetView fleet,
      ResumePolicy policy,
      OriginLookup lookup,
      OriginRecorder recorder,
      Placer placer,
      MetricRegistry metrics,
      EventLog log) {
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.policy = requireNonNull(policy, "policy must not be null");
    this.lookup = requireNonNull(lookup, "lookup must not be null");
    this.recorder = requireNonNull(recorder, "recorder must not be null");
    this.placer = requireNonNull(placer, "placer must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /**
   * Returns the draw that selects a request's service. All attempts at a stream get the same one,
   * at all hosts, so that they reach the service at which the stream began.
   */
  static double serviceDraw(Route route, CallerHeaders headers, Random random) {
    String stream =
        headers.resumedRequestId().isEmpty() ? headers.requestId() : headers.resumedRequestId();
    return route.repeatPolicy().isStream() && !stream.isEmpty()
        ? Rendezvous.uniform(stream)
        : random.nextDouble();
  }

  /** Determines the runners at which a request may be placed now. */
  Readiness prepare(Call call, long nowMillis) {
    if (!call.route.repeatPolicy().isStream()) {
      return new Readiness.Ready();
    }
    if (call.activeAttempts.isEmpty() && call.forwarded == null) {
      // An attempt that was given up must not bring the first event after this decision.
      call.relay.expectNone();
    }
    if (call.requiredVersion == null) {
      call.requiredVersion = call.relay.origin().orElse(null);
    }
    if (call.requiredVersion != null || !call.takesUpStream()) {
      return new Readiness.Ready();
    }
    requestOrigin(call, nowMillis);
    OriginAnswer answer = call.originAnswer;
    return answer == null ? new Readiness.Waiting() : decide(call, answer.origin(), nowMillis);
  }

  /** Asks once for the origin of the stream that a request takes up. */
  private void requestOrigin(Call call, long nowMillis) {
    if (call.originRequested) {
      return;
    }
    call.originRequested = true;
    String resumed = call.headers.resumedRequestId();
    if (resumed.isEmpty()) {
      call.originAnswer = new OriginAnswer(Optional.empty());
      return;
    }
    boolean[] returned = {false};
    lookup.find(
        StreamKey.of(call.workspaceName(), resumed),
        nowMillis,
        origin -> {
          call.originAnswer = new OriginAnswer(origin);
          if (returned[0] && !call.done) {
            placer.place(call);
          }
        });
    returned[0] = true;
  }

  private Readiness decide(Call call, Optional<StreamOrigin> origin, long nowMillis) {
    ResumeDecision decision =
        policy.decide(
            origin,
            call.service,
            fleet.presentRunners(),
            call.route.timeoutMillis(),
            call.arrivedMillis,
            nowMillis);
    if (decision instanceof ResumeDecision.OnlyAt only) {
      call.requiredVersion = only.version();
      metrics.counter("streams.taken_up").inc();
      return new Readiness.Ready();
    }
    if (decision instanceof ResumeDecision.NotYet) {
      return new Readiness.Waiting();
    }
    String reason = ((ResumeDecision.Nowhere) decision).reason();
    metrics.counter("streams.resume_refused").inc();
    log.info(
        "resume-refused",
        "request",
        call.id(),
        "resumes",
        call.headers.resumedRequestId(),
        "service",
        call.service,
        "why",
        reason);
    return new Readiness.Refused(reason);
  }

  /** Returns why a request that no runner can serve is refused, for a human reader. */
  static String noRunnerReason(Call call) {
    String reason =
        "no usable runner for the service: no registered runner accepts requests, or this request"
            + " was tried at all that do";
    return call.requiredVersion == null
        ? reason
        : reason
            + "; the stream %s began at software version %s"
                .formatted(call.headers.resumedRequestId(), call.requiredVersion);
  }

  /** Records where a new stream began, once its first event has gone to the caller. */
  void firstEventRelayed(Call call, long nowMillis) {
    if (call.route.repeatPolicy() == RepeatPolicy.RESUMABLE_STREAM
        && !call.takesUpStream()
        && !call.id().isEmpty()) {
      StreamKey key = StreamKey.of(call.workspaceName(), call.id());
      call.relay
          .origin()
          .ifPresent(
              version -> recorder.record(key, new StreamOrigin(call.service, version), nowMillis));
    }
  }
}
