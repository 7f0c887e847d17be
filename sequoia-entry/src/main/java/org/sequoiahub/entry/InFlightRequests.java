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

/** The inference requests in progress at this entry. */
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
      AttemptListenerFactory events,
      RouteSettings routing,
      SplittableRandom random,
      Tracing tracing,
      MetricRegistry metrics,
      EventLog log) {
    this.view = view;
    this.dispatchers = dispatchers;
    this.listeners = events;
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
    InferenceRequest flight =
        new InferenceRequest(
            ++lastRequestNumber,
            event.caller(),
            event.path(),
            resolved,
            event.body(),
            nowMillis + event.caller().timeoutMillis());
    requests.put(flight.number(), flight);
    event.caller().span().setAttribute("adapter", flight.adapter().exactName());
    event.caller().reply().setHeader(Headers.ADAPTER, flight.adapter().exactName());
    budget.firstAttempt();
    startRun(flight);
  }

  void handleMessage(EntryEvent.MessageReceived event) {
    InferenceRequest flight = requests.get(event.requestNumber());
    if (flight == null || flight.attempt() != event.attempt()) {
      return;
    }
    Envelope message = event.message();
    switch (message.getBodyCase()) {
      case CHUNK -> {
        if (flight.deliveredChunks() == 0 && message.getChunk().getSequence() == 1) {
          long waited = nowMillis - (flight.deadlineMillis() - flight.caller().timeoutMillis());
          firstChunkTimer.update(waited, TimeUnit.MILLISECONDS);
          setAnswerHeaders(flight);
        }
        byte[] data = message.getChunk().getData().toByteArray();
        if (!flight.acceptChunk(message.getChunk().getSequence(), data)) {
          abandon(flight);
        }
      }
      case ADMITTED -> handleAdmitted(flight, message.getAdmitted());
      case STARTED -> flight.started();
      case OUTCOME -> handleOutcome(flight, message.getOutcome());
      default -> log.warning("unexpected-message", "kind", message.getBodyCase());
    }
  }

  void connectionLost(EntryEvent.ConnectionLost event) {
    InferenceRequest flight = requests.get(event.requestNumber());
    if (flight == null || flight.attempt() != event.attempt()) {
      return;
    }
    String host = flight.host();
    if (host != null) {
      dispatchers.markUnreachable(host, nowMillis);
      flight.excludedHosts().add(host);
    }
    if (!event.handedOn()) {
      sendToDispatcher(flight, flight.isStarted());
    } else if (flight.isStarted()) {
      resume(flight, "the dispatcher's connection is gone");
    } else {
      // It may still be queued there, and start after we look elsewhere.
      flight.combineVerdict(new MayHaveRun("dispatcher-lost", "the dispatcher's connection is gone"));
      retryRun(flight, "dispatcher-lost");
    }
  }

  void tick() {
    for (InferenceRequest flight : List.copyOf(requests.values())) {
      if (flight.caller().reply().isBroken()) {
        abandon(flight);
      } else if (nowMillis >= flight.deadlineMillis() + CANCEL_CONFIRM_MILLIS) {
        cancel(flight);
        finish(
            flight,
            flight.combineVerdict(new MayHaveRun("deadline-passed", "the deadline passed")),
            HttpStatus.GATEWAY_TIMEOUT_504);
      } else if (nowMillis >= flight.deadlineMillis()) {
        requestCancel(flight);
      }
    }
  }

  private void startRun(InferenceRequest flight) {
    Fleet fleet = view.fleet();
    List<Runner> pool = fleet.livePool(flight.resolved().record().baseModel());
    // A limited adapter's requests all meet at one runner, where its limit is counted.
    boolean limited = flight.resolved().record().maxInFlight() > 0;
    int count =
        limited ? 1 : Math.min(routing.candidates(), flight.resolved().record().maxReplicas());
    List<Runner> candidates =
        Placement.candidates(flight.adapter(), limited ? pool : activeRunners(flight, pool), count);
    Optional<Runner> chosen =
        chooser.choose(flight.adapter(), candidates, flight.excludedRunners(), hints, nowMillis);
    if (chosen.isEmpty()) {
      String message =
          pool.isEmpty()
              ? "no live runner serves base model '" + flight.resolved().record().baseModel() + "'"
              : "every candidate runner refused; repeat later";
      finish(
          flight,
          flight.combineVerdict(new NotRun("no-runner", message, RETRY_AFTER_MILLIS)),
          HttpStatus.SERVICE_UNAVAILABLE_503);
      return;
    }
    flight.beginRun(chosen.get());
    sendToDispatcher(flight, false);
  }

  private List<Runner> activeRunners(InferenceRequest flight, List<Runner> pool) {
    String baseModel = flight.resolved().record().baseModel();
    double inFlight = (double) hints.inFlight(pool) * view.fleet().liveHosts().size();
    return activePools
        .computeIfAbsent(baseModel, model -> new ActivePool(routing.leastShare()))
        .active(baseModel, pool, inFlight, nowMillis);
  }

  /** Hands the run to a dispatcher: the runner's owner first, then those that may claim it. */
  private void sendToDispatcher(InferenceRequest flight, boolean resume) {
    Runner runner = flight.runner();
    if (runner == null) {
      return;
    }
    List<Host> owners =
        new ArrayList<>(
            Placement.ownersInOrder(runner.id(), view.fleet().liveHosts(), MAX_OWNERS_TRIED));
    Host first = owners.isEmpty() ? null : owners.get(0);
    owners.removeIf(host -> flight.excludedHosts().contains(host.id()));
    Optional<Host> host = dispatchers.preferReachable(owners, nowMillis);
    if (host.isEmpty()) {
      finish(
          flight,
          flight.combineVerdict(
              new NotRun("no-dispatcher", "no dispatcher can be reached", RETRY_AFTER_MILLIS)),
          HttpStatus.SERVICE_UNAVAILABLE_503);
      return;
    }
    boolean fallback = first != null && !host.get().id().equals(first.id());
    int attempt = flight.beginAttempt(host.get().id());
    InferenceCall.Builder message =
        flight
            .newInferenceCall(
                Math.max(1, flight.deadlineMillis() - nowMillis),
                fallback,
                tracing.traceparent(flight.caller().span()))
            .setResume(resume);
    if (resume) {
      message.setResumeAfter(flight.deliveredChunks());
    } else {
      message.setBody(ByteString.copyFrom(flight.engineBody()));
      hints.sent(runner.id());
    }
    WireClient client = dispatchers.client(host.get());
    flight.setCall(client, 0);
    long call =
        client.call(
            Envelope.newBuilder().setInference(message), listeners.createListener(flight.number(), attempt));
    if (flight.attempt() == attempt) {
      flight.setCall(client, call);
    }
  }

  private void handleAdmitted(InferenceRequest flight, Admitted admitted) {
    hints.heard(
        admitted.getRunner(),
        flight.adapter(),
        admitted.getExpectedWaitMs(),
        admitted.getResident(),
        nowMillis);
  }

  private void handleOutcome(InferenceRequest flight, Outcome outcome) {
    flight.endCall();
    Runner runner = flight.runner();
    if (runner != null) {
      hints.ended(runner.id());
      boolean resident = outcome.getComplete() || outcome.getResident();
      hints.heard(runner.id(), flight.adapter(), outcome.getExpectedWaitMs(), resident, nowMillis);
    }
    if (outcome.getComplete()) {
      complete(flight, outcome);
    } else if (outcome.getVerdict() == RunVerdict.NOT_RUN) {
      handleRefusal(flight, outcome);
    } else {
      handleIncompleteAnswer(flight, outcome);
    }
  }

  private void complete(InferenceRequest flight, Outcome outcome) {
    if (!flight.acceptEnd(outcome.getChunks())) {
      resume(flight, "chunks are missing");
      return;
    }
    requests.remove(flight.number());
    setAnswerHeaders(flight);
    flight.completeAnswer();
    endSpan(flight, RunVerdict.RAN, true);
  }

  private void handleRefusal(InferenceRequest flight, Outcome outcome) {
    NotRun refusal =
        new NotRun(outcome.getReason(), outcome.getMessage(), outcome.getRetryAfterMs());
    Verdict combined = flight.combineVerdict(refusal);
    String host = flight.host();
    Runner runner = flight.runner();
    if (HOST_REFUSAL_REASONS.contains(outcome.getReason()) && host != null) {
      flight.excludedHosts().add(host);
      sendToDispatcher(flight, false);
    } else if (RUNNER_REFUSAL_REASONS.contains(outcome.getReason())
        && runner != null
        && budget.tryRetry()) {
      retryCounter.inc();
      flight.excludedRunners().add(runner.id());
      startRun(flight);
    } else {
      finish(flight, combined, outcome.getStatus());
    }
  }

  private void handleIncompleteAnswer(InferenceRequest flight, Outcome outcome) {
    boolean ran = outcome.getVerdict() == RunVerdict.RAN;
    Verdict verdict = ran ? new Ran() : new MayHaveRun(outcome.getReason(), outcome.getMessage());
    flight.combineVerdict(verdict);
    log.info(
        "answer-broken",
        "request",
        flight.caller().requestId(),
        "reason",
        outcome.getReason(),
        "delivered",
        flight.deliveredChunks());
    if (flight.deliveredChunks() == 0) {
      retryRun(flight, outcome.getReason());
    } else {
      finishIncomplete(flight, outcome);
    }
  }

  /**
   * Runs the request again from the start. Nothing of an answer has reached the caller, and an
   * inference changes nothing outside the engine, so a second run can do no harm.
   */
  private void retryRun(InferenceRequest flight, String reason) {
    boolean late = nowMillis >= flight.deadlineMillis();
    if (flight.deliveredChunks() > 0 || late || !budget.tryRetry()) {
      Verdict verdict = flight.combineVerdict(new MayHaveRun(reason, "the request was lost; repeat it"));
      finish(flight, verdict, HttpStatus.BAD_GATEWAY_502);
      return;
    }
    retryCounter.inc();
    flight.endCall();
    startRun(flight);
  }

  private void resume(InferenceRequest flight, String reason) {
    flight.incrementResumes();
    if (flight.resumes() > MAX_RESUMES || nowMillis >= flight.deadlineMillis()) {
      Verdict verdict = flight.combineVerdict(new MayHaveRun("stream-lost", reason));
      finish(flight, verdict, HttpStatus.BAD_GATEWAY_502);
      return;
    }
    resumeCounter.inc();
    log.info(
        "answer-resumed",
        "request",
        flight.caller().requestId(),
        "after",
        flight.deliveredChunks(),
        "reason",
        reason);
    sendToDispatcher(flight, true);
  }

  private void abandon(InferenceRequest flight) {
    cancel(flight);
    requests.remove(flight.number());
    endSpan(flight, RunVerdict.MAY_HAVE_RUN, false);
  }

  /**
   * Asks the dispatcher to cancel, and leaves it a moment to say what became of the request. Only
   * the dispatcher can tell that it was still queued; without its word a caller whose deadline
   * passed would have to be told that the request may have run.
   */
  private void requestCancel(InferenceRequest flight) {
    WireClient client = flight.client();
    if (client != null && flight.markCancelRequested()) {
      client.send(flight.callNumber(), Envelope.newBuilder().setCancel(Cancel.getDefaultInstance()));
    }
  }

  private void cancel(InferenceRequest flight) {
    requestCancel(flight);
    Runner runner = flight.runner();
    if (runner != null) {
      hints.ended(runner.id());
    }
    flight.endCall();
  }

  private void finishIncomplete(InferenceRequest flight, Outcome outcome) {
    requests.remove(flight.number());
    flight.endCall();
    flight.caller().reply().sendFailure(outcome);
    endSpan(flight, outcome.getVerdict(), false);
  }

  private void finish(InferenceRequest flight, Verdict verdict, int status) {
    requests.remove(flight.number());
    flight.endCall();
    Reply reply = flight.caller().reply();
    RunVerdict told =
        verdict.fold(
            notRun -> {
              reply.sendNotRun(status, notRun);
              return RunVerdict.NOT_RUN;
            },
            ran -> {
              reply.sendFailure(failureOutcome(RunVerdict.RAN, "not-whole", "the answer is not whole"));
              return RunVerdict.RAN;
            },
            doubt -> {
              Outcome outcome = failureOutcome(RunVerdict.MAY_HAVE_RUN, doubt.reason(), doubt.message());
              reply.sendFailure(outcome.toBuilder().setStatus(status).build());
              return RunVerdict.MAY_HAVE_RUN;
            });
    endSpan(flight, told, false);
  }

  private void refuse(CallerContext caller, int status, NotRun verdict) {
    caller.span().setStatus(StatusCode.ERROR);
    caller.span().end();
    caller.reply().sendNotRun(status, verdict);
  }

  private void setAnswerHeaders(InferenceRequest flight) {
    Runner runner = flight.runner();
    flight.caller().reply().setVerdict(RunVerdict.RAN);
    flight.caller().reply().setHeader(Headers.RUNNER, runner == null ? "" : runner.id());
  }

  private void endSpan(InferenceRequest flight, RunVerdict verdict, boolean whole) {
    Runner runner = flight.runner();
    flight
        .caller()
        .span()
        .setAttribute("verdict", verdict.name())
        .setAttribute("runner", runner == null ? "" : runner.id())
        .setStatus(whole ? StatusCode.OK : StatusCode.ERROR);
    flight.caller().span().end();
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
