package org.sequoiahub.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.StatusCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.placement.Placement;
import org.sequoiahub.core.retry.RetryBudget;
import org.sequoiahub.core.route.ActivePool;
import org.sequoiahub.core.route.ModelResolver;
import org.sequoiahub.core.route.Resolution;
import org.sequoiahub.core.route.Resolution.Resolved;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.route.RunnerChooser;
import org.sequoiahub.core.route.RunnerHints;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.core.verdict.Verdict.MayHaveRun;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.core.verdict.Verdict.Ran;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.trace.Tracing;
import org.sequoiahub.schema.settings.EntrySettings;
import org.sequoiahub.schema.wire.Admitted;
import org.sequoiahub.schema.wire.Cancel;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.InferenceCall;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;
import org.sequoiahub.wire.LocalView;
import org.sequoiahub.wire.WireClient;

/** Routes inference requests to runners and tracks those in progress at this entry. */
final class InFlightRequests {

  private static final int MAX_OWNERS_TRIED = 3;
  private static final int MAX_RESUMES = 4;
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final long CANCEL_CONFIRM_MILLIS = 500;
  private static final Set<String> RUNNER_REFUSAL_REASONS =
      Set.of("queue-full", "too-late", "runner-leaving", "adapter-not-loaded", "engine-refused");
  private static final Set<String> HOST_REFUSAL_REASONS =
      Set.of("stopping", "not-owner", "no-authority", "unknown-runner");

  private final LocalView view;
  private final DispatcherDirectory dispatchers;
  private final AttemptListenerFactory listeners;
  private final RunnerHints hints = new RunnerHints();
  private final RunnerChooser chooser;
  private final RouteSettings routing;
  private final RetryBudget budget;
  private final SplittableRandom random;
  private final Tracing tracing;
  private final EventLog log;
  private final Map<Long, InferenceRequest> requests = new HashMap<>();
  private final Map<String, ActivePool> activePools = new HashMap<>();
  private final Timer firstChunkTimer;
  private final Counter retryCounter;
  private final Counter resumeCounter;
  private long lastRequestNumber;
  private long nowMillis;

  InFlightRequests(
      EntrySettings settings,
      LocalView view,
      DispatcherDirectory dispatchers,
      AttemptListenerFactory listeners,
      RouteSettings routing,
      SplittableRandom random,
      Tracing tracing,
      MetricRegistry metrics,
      EventLog log) {
    this.view = view;
    this.dispatchers = dispatchers;
    this.listeners = listeners;
    this.routing = routing;
    this.chooser = new RunnerChooser(routing);
    this.budget = new RetryBudget(settings.getRetryBudgetPercent() / 100.0);
    this.random = random;
    this.tracing = tracing;
    this.log = log;
    this.firstChunkTimer = metrics.timer("requests.first_chunk");
    this.retryCounter = metrics.counter("requests.retries");
    this.resumeCounter = metrics.counter("requests.resumes");
  }

  void setNowMillis(long millis) {
    nowMillis = millis;
  }

  int size() {
    return requests.size();
  }

  void begin(EntryEvent.Inference event) {
    Resolution resolution =
        ModelResolver.resolve(event.body().model(), view.records(), random.nextDouble());
    if (resolution instanceof Resolution.Unknown unknown) {
      refuse(event.caller(), HttpStatus.NOT_FOUND_404, unknown.verdict());
      return;
    }
    Resolved resolved = (Resolved) resolution;
    InferenceRequest request =
        new InferenceRequest(
            ++lastRequestNumber,
            event.caller(),
            event.path(),
            resolved,
            event.body(),
            nowMillis + event.caller().timeoutMillis());
    requests.put(request.number(), request);
    event.caller().span().setAttribute("adapter", request.adapter().exactName());
    event.caller().reply().setHeader(Headers.ADAPTER, request.adapter().exactName());
    budget.recordFirstAttempt();
    startRun(request);
  }

  void handleMessage(EntryEvent.MessageReceived event) {
    InferenceRequest request = requests.get(event.requestNumber());
    if (request == null || request.attempt() != event.attempt()) {
      return;
    }
    Envelope message = event.message();
    switch (message.getBodyCase()) {
      case CHUNK -> {
        if (request.deliveredChunks() == 0 && message.getChunk().getSequence() == 1) {
          long elapsedMillis =
              nowMillis - (request.deadlineMillis() - request.caller().timeoutMillis());
          firstChunkTimer.update(elapsedMillis, TimeUnit.MILLISECONDS);
          setAnswerHeaders(request);
        }
        byte[] data = message.getChunk().getData().toByteArray();
        if (!request.acceptChunk(message.getChunk().getSequence(), data)) {
          abandon(request);
        }
      }
      case ADMITTED -> handleAdmitted(request, message.getAdmitted());
      case STARTED -> request.markStarted();
      case OUTCOME -> handleOutcome(request, message.getOutcome());
      default -> log.warning("unexpected-message", "kind", message.getBodyCase());
    }
  }

  /**
   * Handles the loss of the connection to a dispatcher. A call that was never written is sent to
   * another dispatcher, a started run is resumed, and any other run is retried.
   */
  void connectionLost(EntryEvent.ConnectionLost event) {
    InferenceRequest request = requests.get(event.requestNumber());
    if (request == null || request.attempt() != event.attempt()) {
      return;
    }
    String host = request.host();
    if (host != null) {
      dispatchers.markUnreachable(host, nowMillis);
      request.excludedHosts().add(host);
    }
    if (!event.handedOn()) {
      sendToDispatcher(request, request.isStarted());
    } else if (request.isStarted()) {
      resume(request, "the connection to the dispatcher was lost");
    } else {
      // The request may still be queued there and start after it is sent to another runner.
      request.combineVerdict(
          new MayHaveRun("dispatcher-lost", "the connection to the dispatcher was lost"));
      retryRun(request, "dispatcher-lost");
    }
  }

  /** Abandons requests whose caller is gone, and cancels and fails those past their deadline. */
  void tick() {
    for (InferenceRequest request : List.copyOf(requests.values())) {
      if (request.caller().reply().isBroken()) {
        abandon(request);
      } else if (nowMillis >= request.deadlineMillis() + CANCEL_CONFIRM_MILLIS) {
        cancel(request);
        finish(
            request,
            request.combineVerdict(
                new MayHaveRun(
                    "deadline-passed", "the deadline passed before the request completed")),
            HttpStatus.GATEWAY_TIMEOUT_504);
      } else if (nowMillis >= request.deadlineMillis()) {
        requestCancel(request);
      }
    }
  }

  /** Chooses a runner and sends it the request, or fails the request if there is none. */
  private void startRun(InferenceRequest request) {
    Fleet fleet = view.fleet();
    List<Runner> pool = fleet.livePool(request.resolved().record().baseModel());
    // All requests for an adapter with a limit go to one runner, which enforces the limit.
    boolean limited = request.resolved().record().maxInFlight() > 0;
    int count =
        limited ? 1 : Math.min(routing.candidateCount(), request.resolved().record().maxReplicas());
    List<Runner> candidates =
        Placement.candidates(
            request.adapter(), limited ? pool : activeRunners(request, pool), count);
    Optional<Runner> chosen =
        chooser.choose(request.adapter(), candidates, request.excludedRunners(), hints, nowMillis);
    if (chosen.isEmpty()) {
      String message =
          pool.isEmpty()
              ? "no live runner serves base model '" + request.resolved().record().baseModel() + "'"
              : "every candidate runner refused the request; retry later";
      finish(
          request,
          request.combineVerdict(new NotRun("no-runner", message, RETRY_AFTER_MILLIS)),
          HttpStatus.SERVICE_UNAVAILABLE_503);
      return;
    }
    request.beginRun(chosen.get());
    sendToDispatcher(request, false);
  }

  private List<Runner> activeRunners(InferenceRequest request, List<Runner> pool) {
    String baseModel = request.resolved().record().baseModel();
    double inFlight = (double) hints.inFlight(pool) * view.fleet().liveHosts().size();
    return activePools
        .computeIfAbsent(baseModel, model -> new ActivePool(routing.minActiveShare()))
        .select(baseModel, pool, inFlight, nowMillis);
  }

  /** Sends the run to the dispatcher of the runner's owner, or else of a host that may claim it. */
  private void sendToDispatcher(InferenceRequest request, boolean resume) {
    Runner runner = request.runner();
    if (runner == null) {
      return;
    }
    List<Host> owners =
        new ArrayList<>(
            Placement.ownersInOrder(runner.id(), view.fleet().liveHosts(), MAX_OWNERS_TRIED));
    Host first = owners.isEmpty() ? null : owners.get(0);
    owners.removeIf(host -> request.excludedHosts().contains(host.id()));
    Optional<Host> host = dispatchers.preferReachable(owners, nowMillis);
    if (host.isEmpty()) {
      finish(
          request,
          request.combineVerdict(
              new NotRun(
                  "no-dispatcher",
                  "no dispatcher can be reached; retry later",
                  RETRY_AFTER_MILLIS)),
          HttpStatus.SERVICE_UNAVAILABLE_503);
      return;
    }
    boolean fallback = first != null && !host.get().id().equals(first.id());
    int attempt = request.beginAttempt(host.get().id());
    InferenceCall.Builder message =
        request
            .newInferenceCall(
                Math.max(1, request.deadlineMillis() - nowMillis),
                fallback,
                tracing.traceparent(request.caller().span()))
            .setResume(resume);
    if (resume) {
      message.setResumeAfter(request.deliveredChunks());
    } else {
      message.setBody(ByteString.copyFrom(request.engineBody()));
      hints.requestSent(runner.id());
    }
    WireClient client = dispatchers.client(host.get());
    request.setCall(client, 0);
    long call =
        client.call(
            Envelope.newBuilder().setInference(message),
            listeners.createListener(request.number(), attempt));
    if (request.attempt() == attempt) {
      request.setCall(client, call);
    }
  }

  private void handleAdmitted(InferenceRequest request, Admitted admitted) {
    hints.update(
        admitted.getRunner(),
        request.adapter(),
        admitted.getExpectedWaitMs(),
        admitted.getResident(),
        nowMillis);
  }

  private void handleOutcome(InferenceRequest request, Outcome outcome) {
    request.endCall();
    Runner runner = request.runner();
    if (runner != null) {
      hints.requestEnded(runner.id());
      boolean resident = outcome.getComplete() || outcome.getResident();
      hints.update(
          runner.id(), request.adapter(), outcome.getExpectedWaitMs(), resident, nowMillis);
    }
    if (outcome.getComplete()) {
      complete(request, outcome);
    } else if (outcome.getVerdict() == RunVerdict.NOT_RUN) {
      handleRefusal(request, outcome);
    } else {
      handleIncompleteAnswer(request, outcome);
    }
  }

  private void complete(InferenceRequest request, Outcome outcome) {
    if (!request.acceptEnd(outcome.getChunks())) {
      resume(request, "chunks are missing before the end marker");
      return;
    }
    requests.remove(request.number());
    setAnswerHeaders(request);
    request.completeAnswer();
    endSpan(request, RunVerdict.RAN, true);
  }

  private void handleRefusal(InferenceRequest request, Outcome outcome) {
    NotRun refusal =
        new NotRun(outcome.getReason(), outcome.getMessage(), outcome.getRetryAfterMs());
    Verdict combined = request.combineVerdict(refusal);
    String host = request.host();
    Runner runner = request.runner();
    if (HOST_REFUSAL_REASONS.contains(outcome.getReason()) && host != null) {
      request.excludedHosts().add(host);
      sendToDispatcher(request, false);
    } else if (RUNNER_REFUSAL_REASONS.contains(outcome.getReason())
        && runner != null
        && budget.tryAcquireRetry()) {
      retryCounter.inc();
      request.excludedRunners().add(runner.id());
      startRun(request);
    } else {
      finish(request, combined, outcome.getStatus());
    }
  }

  private void handleIncompleteAnswer(InferenceRequest request, Outcome outcome) {
    boolean ran = outcome.getVerdict() == RunVerdict.RAN;
    Verdict verdict = ran ? new Ran() : new MayHaveRun(outcome.getReason(), outcome.getMessage());
    request.combineVerdict(verdict);
    log.info(
        "answer-broken",
        "request",
        request.caller().requestId(),
        "reason",
        outcome.getReason(),
        "delivered",
        request.deliveredChunks());
    if (request.deliveredChunks() == 0) {
      retryRun(request, outcome.getReason());
    } else {
      finishIncomplete(request, outcome);
    }
  }

  /**
   * Runs the request again from the start. This is safe because no part of the answer has reached
   * the caller, and an inference has no effects outside the engine.
   */
  private void retryRun(InferenceRequest request, String reason) {
    boolean deadlinePassed = nowMillis >= request.deadlineMillis();
    if (request.deliveredChunks() > 0 || deadlinePassed || !budget.tryAcquireRetry()) {
      Verdict verdict =
          request.combineVerdict(
              new MayHaveRun(reason, "the request was lost before it completed; repeat it"));
      finish(request, verdict, HttpStatus.BAD_GATEWAY_502);
      return;
    }
    retryCounter.inc();
    request.endCall();
    startRun(request);
  }

  /** Resumes the run's stream after the chunks delivered so far. */
  private void resume(InferenceRequest request, String reason) {
    request.incrementResumes();
    if (request.resumes() > MAX_RESUMES || nowMillis >= request.deadlineMillis()) {
      Verdict verdict = request.combineVerdict(new MayHaveRun("stream-lost", reason));
      finish(request, verdict, HttpStatus.BAD_GATEWAY_502);
      return;
    }
    resumeCounter.inc();
    log.info(
        "answer-resumed",
        "request",
        request.caller().requestId(),
        "after",
        request.deliveredChunks(),
        "reason",
        reason);
    sendToDispatcher(request, true);
  }

  /** Cancels a request whose caller is gone. */
  private void abandon(InferenceRequest request) {
    cancel(request);
    requests.remove(request.number());
    endSpan(request, RunVerdict.MAY_HAVE_RUN, false);
  }

  /**
   * Requests the dispatcher to cancel the request but does not end the call, so that the dispatcher
   * can still report the outcome. Only the dispatcher knows whether the request was still queued;
   * without its report, a caller whose deadline passed would receive {@code MAY_HAVE_RUN}.
   */
  private void requestCancel(InferenceRequest request) {
    WireClient client = request.client();
    if (client != null && request.markCancelRequested()) {
      client.send(
          request.callNumber(), Envelope.newBuilder().setCancel(Cancel.getDefaultInstance()));
    }
  }

  private void cancel(InferenceRequest request) {
    requestCancel(request);
    Runner runner = request.runner();
    if (runner != null) {
      hints.requestEnded(runner.id());
    }
    request.endCall();
  }

  private void finishIncomplete(InferenceRequest request, Outcome outcome) {
    requests.remove(request.number());
    request.endCall();
    request.caller().reply().sendFailure(outcome);
    endSpan(request, outcome.getVerdict(), false);
  }

  private void finish(InferenceRequest request, Verdict verdict, int status) {
    requests.remove(request.number());
    request.endCall();
    Reply reply = request.caller().reply();
    RunVerdict reported =
        verdict.fold(
            notRun -> {
              reply.sendNotRun(status, notRun);
              return RunVerdict.NOT_RUN;
            },
            ran -> {
              reply.sendFailure(
                  failureOutcome(RunVerdict.RAN, "not-whole", "the answer is incomplete"));
              return RunVerdict.RAN;
            },
            mayHaveRun -> {
              Outcome outcome =
                  failureOutcome(
                      RunVerdict.MAY_HAVE_RUN, mayHaveRun.reason(), mayHaveRun.message());
              reply.sendFailure(outcome.toBuilder().setStatus(status).build());
              return RunVerdict.MAY_HAVE_RUN;
            });
    endSpan(request, reported, false);
  }

  private void refuse(CallerContext caller, int status, NotRun verdict) {
    caller.span().setStatus(StatusCode.ERROR);
    caller.span().end();
    caller.reply().sendNotRun(status, verdict);
  }

  private void setAnswerHeaders(InferenceRequest request) {
    Runner runner = request.runner();
    request.caller().reply().setVerdict(RunVerdict.RAN);
    request.caller().reply().setHeader(Headers.RUNNER, runner == null ? "" : runner.id());
  }

  private void endSpan(InferenceRequest request, RunVerdict verdict, boolean successful) {
    Runner runner = request.runner();
    request
        .caller()
        .span()
        .setAttribute("verdict", verdict.name())
        .setAttribute("runner", runner == null ? "" : runner.id())
        .setStatus(successful ? StatusCode.OK : StatusCode.ERROR);
    request.caller().span().end();
  }

  private static Outcome failureOutcome(RunVerdict verdict, String reason, String message) {
    return Outcome.newBuilder()
        .setVerdict(verdict)
        .setStatus(HttpStatus.BAD_GATEWAY_502)
        .setReason(reason)
        .setMessage(message)
        .build();
  }
}
