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

  private static final int OWNERS_TRIED = 3;
  private static final int MAX_RESUMES = 4;
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final long CONFIRM_MILLIS = 500;
  private static final Set<String> RUNNER_REFUSALS =
      Set.of("queue-full", "too-late", "runner-leaving", "adapter-not-loaded", "engine-refused");
  private static final Set<String> HOST_REFUSALS =
      Set.of("stopping", "not-owner", "no-authority", "unknown-runner");

  private final LocalView view;
  private final DispatcherDirectory dispatchers;
  private final FlightEvents events;
  private final RunnerHints hints = new RunnerHints();
  private final RunnerChooser chooser;
  private final RouteSettings routing;
  private final RetryBudget budget;
  private final SplittableRandom random;
  private final Tracing tracing;
  private final EventLog log;
  private final Map<Long, Flight> flights = new HashMap<>();
  private final Map<String, ActivePool> activePools = new HashMap<>();
  private final Timer firstChunk;
  private final Counter retries;
  private final Counter resumes;
  private long lastFlight;
  private long nowMillis;

  InFlightRequests(
      EntrySettings settings,
      LocalView view,
      DispatcherDirectory dispatchers,
      FlightEvents events,
      RouteSettings routing,
      SplittableRandom random,
      Tracing tracing,
      MetricRegistry metrics,
      EventLog log) {
    this.view = view;
    this.dispatchers = dispatchers;
    this.events = events;
    this.routing = routing;
    this.chooser = new RunnerChooser(routing);
    this.budget = new RetryBudget(settings.getRetryBudgetPercent() / 100.0);
    this.random = random;
    this.tracing = tracing;
    this.log = log;
    this.firstChunk = metrics.timer("requests.first_chunk");
    this.retries = metrics.counter("requests.retries");
    this.resumes = metrics.counter("requests.resumes");
  }

  void now(long millis) {
    nowMillis = millis;
  }

  int size() {
    return flights.size();
  }

  void begin(EntryEvent.Inference event) {
    Resolution resolution =
        ModelResolver.resolve(event.body().model(), view.records(), random.nextDouble());
    if (resolution instanceof Resolution.Unknown unknown) {
      refuse(event.caller(), HttpStatus.NOT_FOUND_404, unknown.verdict());
      return;
    }
    Resolved resolved = (Resolved) resolution;
    Flight flight =
        new Flight(
            ++lastFlight,
            event.caller(),
            event.path(),
            resolved,
            event.body(),
            nowMillis + event.caller().timeoutMillis());
    flights.put(flight.number(), flight);
    event.caller().span().setAttribute("adapter", flight.adapter().exactName());
    event.caller().reply().header(Headers.ADAPTER, flight.adapter().exactName());
    budget.firstAttempt();
    run(flight);
  }

  void message(EntryEvent.FlightMessage event) {
    Flight flight = flights.get(event.flight());
    if (flight == null || flight.attempt() != event.attempt()) {
      return;
    }
    Envelope message = event.message();
    switch (message.getBodyCase()) {
      case CHUNK -> {
        if (flight.delivered() == 0 && message.getChunk().getSequence() == 1) {
          long waited = nowMillis - (flight.deadlineMillis() - flight.caller().timeoutMillis());
          firstChunk.update(waited, TimeUnit.MILLISECONDS);
          answerHeaders(flight);
        }
        byte[] data = message.getChunk().getData().toByteArray();
        if (!flight.chunk(message.getChunk().getSequence(), data)) {
          callerGone(flight);
        }
      }
      case ADMITTED -> admitted(flight, message.getAdmitted());
      case STARTED -> flight.started();
      case OUTCOME -> outcome(flight, message.getOutcome());
      default -> log.warning("unexpected-message", "kind", message.getBodyCase());
    }
  }

  void lost(EntryEvent.FlightLost event) {
    Flight flight = flights.get(event.flight());
    if (flight == null || flight.attempt() != event.attempt()) {
      return;
    }
    String host = flight.host();
    if (host != null) {
      dispatchers.failed(host, nowMillis);
      flight.excludedHosts().add(host);
    }
    if (!event.handedOn()) {
      reach(flight, flight.isStarted());
    } else if (flight.isStarted()) {
      resume(flight, "the dispatcher's connection is gone");
    } else {
      // It may still be queued there, and start after we look elsewhere.
      flight.combine(new MayHaveRun("dispatcher-lost", "the dispatcher's connection is gone"));
      retryRun(flight, "dispatcher-lost");
    }
  }

  void tick() {
    for (Flight flight : List.copyOf(flights.values())) {
      if (flight.caller().reply().isBroken()) {
        callerGone(flight);
      } else if (nowMillis >= flight.deadlineMillis() + CONFIRM_MILLIS) {
        cancel(flight);
        finish(
            flight,
            flight.combine(new MayHaveRun("deadline-passed", "the deadline passed")),
            HttpStatus.GATEWAY_TIMEOUT_504);
      } else if (nowMillis >= flight.deadlineMillis()) {
        askToCancel(flight);
      }
    }
  }

  private void run(Flight flight) {
    Fleet fleet = view.fleet();
    List<Runner> pool = fleet.livePool(flight.resolved().record().baseModel());
    // A limited adapter's requests all meet at one runner, where its limit is counted.
    boolean limited = flight.resolved().record().maxInFlight() > 0;
    int count =
        limited ? 1 : Math.min(routing.candidateCount(), flight.resolved().record().maxReplicas());
    List<Runner> candidates =
        Placement.candidates(flight.adapter(), limited ? pool : active(flight, pool), count);
    Optional<Runner> chosen =
        chooser.choose(flight.adapter(), candidates, flight.excludedRunners(), hints, nowMillis);
    if (chosen.isEmpty()) {
      String message =
          pool.isEmpty()
              ? "no live runner serves base model '" + flight.resolved().record().baseModel() + "'"
              : "every candidate runner refused; repeat later";
      finish(
          flight,
          flight.combine(new NotRun("no-runner", message, RETRY_AFTER_MILLIS)),
          HttpStatus.SERVICE_UNAVAILABLE_503);
      return;
    }
    flight.beginRun(chosen.get());
    reach(flight, false);
  }

  private List<Runner> active(Flight flight, List<Runner> pool) {
    String baseModel = flight.resolved().record().baseModel();
    double inFlight = (double) hints.inFlight(pool) * view.fleet().liveHosts().size();
    return activePools
        .computeIfAbsent(baseModel, model -> new ActivePool(routing.minActiveShare()))
        .select(baseModel, pool, inFlight, nowMillis);
  }

  /** Hands the run to a dispatcher: the runner's owner first, then those that may claim it. */
  private void reach(Flight flight, boolean resume) {
    Runner runner = flight.runner();
    if (runner == null) {
      return;
    }
    List<Host> owners =
        new ArrayList<>(
            Placement.ownersInOrder(runner.id(), view.fleet().liveHosts(), OWNERS_TRIED));
    Host first = owners.isEmpty() ? null : owners.get(0);
    owners.removeIf(host -> flight.excludedHosts().contains(host.id()));
    Optional<Host> host = dispatchers.bestOf(owners, nowMillis);
    if (host.isEmpty()) {
      finish(
          flight,
          flight.combine(
              new NotRun("no-dispatcher", "no dispatcher can be reached", RETRY_AFTER_MILLIS)),
          HttpStatus.SERVICE_UNAVAILABLE_503);
      return;
    }
    boolean fallback = first != null && !host.get().id().equals(first.id());
    int attempt = flight.beginAttempt(host.get().id());
    InferenceCall.Builder message =
        flight
            .message(
                Math.max(1, flight.deadlineMillis() - nowMillis),
                fallback,
                tracing.traceparent(flight.caller().span()))
            .setResume(resume);
    if (resume) {
      message.setResumeAfter(flight.delivered());
    } else {
      message.setBody(ByteString.copyFrom(flight.engineBody()));
      hints.requestSent(runner.id());
    }
    WireClient client = dispatchers.client(host.get());
    flight.calling(client, 0);
    long call =
        client.call(
            Envelope.newBuilder().setInference(message), events.listener(flight.number(), attempt));
    if (flight.attempt() == attempt) {
      flight.calling(client, call);
    }
  }

  private void admitted(Flight flight, Admitted admitted) {
    hints.update(
        admitted.getRunner(),
        flight.adapter(),
        admitted.getExpectedWaitMs(),
        admitted.getResident(),
        nowMillis);
  }

  private void outcome(Flight flight, Outcome outcome) {
    flight.endCall();
    Runner runner = flight.runner();
    if (runner != null) {
      hints.requestEnded(runner.id());
      boolean resident = outcome.getComplete() || outcome.getResident();
      hints.update(runner.id(), flight.adapter(), outcome.getExpectedWaitMs(), resident, nowMillis);
    }
    if (outcome.getComplete()) {
      complete(flight, outcome);
    } else if (outcome.getVerdict() == RunVerdict.NOT_RUN) {
      refused(flight, outcome);
    } else {
      broken(flight, outcome);
    }
  }

  private void complete(Flight flight, Outcome outcome) {
    if (!flight.end(outcome.getChunks())) {
      resume(flight, "chunks are missing");
      return;
    }
    flights.remove(flight.number());
    answerHeaders(flight);
    flight.finishWhole();
    endSpan(flight, RunVerdict.RAN, true);
  }

  private void refused(Flight flight, Outcome outcome) {
    NotRun refusal =
        new NotRun(outcome.getReason(), outcome.getMessage(), outcome.getRetryAfterMs());
    Verdict combined = flight.combine(refusal);
    String host = flight.host();
    Runner runner = flight.runner();
    if (HOST_REFUSALS.contains(outcome.getReason()) && host != null) {
      flight.excludedHosts().add(host);
      reach(flight, false);
    } else if (RUNNER_REFUSALS.contains(outcome.getReason())
        && runner != null
        && budget.tryRetry()) {
      retries.inc();
      flight.excludedRunners().add(runner.id());
      run(flight);
    } else {
      finish(flight, combined, outcome.getStatus());
    }
  }

  private void broken(Flight flight, Outcome outcome) {
    boolean ran = outcome.getVerdict() == RunVerdict.RAN;
    Verdict verdict = ran ? new Ran() : new MayHaveRun(outcome.getReason(), outcome.getMessage());
    flight.combine(verdict);
    log.info(
        "answer-broken",
        "request",
        flight.caller().requestId(),
        "reason",
        outcome.getReason(),
        "delivered",
        flight.delivered());
    if (flight.delivered() == 0) {
      retryRun(flight, outcome.getReason());
    } else {
      finishBroken(flight, outcome);
    }
  }

  /**
   * Runs the request again from the start. Nothing of an answer has reached the caller, and an
   * inference changes nothing outside the engine, so a second run can do no harm.
   */
  private void retryRun(Flight flight, String reason) {
    boolean late = nowMillis >= flight.deadlineMillis();
    if (flight.delivered() > 0 || late || !budget.tryRetry()) {
      Verdict verdict = flight.combine(new MayHaveRun(reason, "the request was lost; repeat it"));
      finish(flight, verdict, HttpStatus.BAD_GATEWAY_502);
      return;
    }
    retries.inc();
    flight.endCall();
    run(flight);
  }

  private void resume(Flight flight, String reason) {
    flight.countResume();
    if (flight.resumes() > MAX_RESUMES || nowMillis >= flight.deadlineMillis()) {
      Verdict verdict = flight.combine(new MayHaveRun("stream-lost", reason));
      finish(flight, verdict, HttpStatus.BAD_GATEWAY_502);
      return;
    }
    resumes.inc();
    log.info(
        "answer-resumed",
        "request",
        flight.caller().requestId(),
        "after",
        flight.delivered(),
        "reason",
        reason);
    reach(flight, true);
  }

  private void callerGone(Flight flight) {
    cancel(flight);
    flights.remove(flight.number());
    endSpan(flight, RunVerdict.MAY_HAVE_RUN, false);
  }

  /**
   * Asks the dispatcher to cancel, and leaves it a moment to say what became of the request. Only
   * the dispatcher can tell that it was still queued; without its word a caller whose deadline
   * passed would have to be told that the request may have run.
   */
  private void askToCancel(Flight flight) {
    WireClient client = flight.client();
    if (client != null && flight.tryCancel()) {
      client.send(flight.call(), Envelope.newBuilder().setCancel(Cancel.getDefaultInstance()));
    }
  }

  private void cancel(Flight flight) {
    askToCancel(flight);
    Runner runner = flight.runner();
    if (runner != null) {
      hints.requestEnded(runner.id());
    }
    flight.endCall();
  }

  private void finishBroken(Flight flight, Outcome outcome) {
    flights.remove(flight.number());
    flight.endCall();
    flight.caller().reply().failed(outcome);
    endSpan(flight, outcome.getVerdict(), false);
  }

  private void finish(Flight flight, Verdict verdict, int status) {
    flights.remove(flight.number());
    flight.endCall();
    Reply reply = flight.caller().reply();
    RunVerdict told =
        verdict.fold(
            notRun -> {
              reply.notRun(status, notRun);
              return RunVerdict.NOT_RUN;
            },
            ran -> {
              reply.failed(failure(RunVerdict.RAN, "not-whole", "the answer is not whole"));
              return RunVerdict.RAN;
            },
            doubt -> {
              Outcome outcome = failure(RunVerdict.MAY_HAVE_RUN, doubt.reason(), doubt.message());
              reply.failed(outcome.toBuilder().setStatus(status).build());
              return RunVerdict.MAY_HAVE_RUN;
            });
    endSpan(flight, told, false);
  }

  private void refuse(CallerContext caller, int status, NotRun verdict) {
    caller.span().setStatus(StatusCode.ERROR);
    caller.span().end();
    caller.reply().notRun(status, verdict);
  }

  private void answerHeaders(Flight flight) {
    Runner runner = flight.runner();
    flight.caller().reply().verdict(RunVerdict.RAN);
    flight.caller().reply().header(Headers.RUNNER, runner == null ? "" : runner.id());
  }

  private void endSpan(Flight flight, RunVerdict verdict, boolean whole) {
    Runner runner = flight.runner();
    flight
        .caller()
        .span()
        .setAttribute("verdict", verdict.name())
        .setAttribute("runner", runner == null ? "" : runner.id())
        .setStatus(whole ? StatusCode.OK : StatusCode.ERROR);
    flight.caller().span().end();
  }

  private static Outcome failure(RunVerdict verdict, String reason, String message) {
    return Outcome.newBuilder()
        .setVerdict(verdict)
        .setStatus(HttpStatus.BAD_GATEWAY_502)
        .setReason(reason)
        .setMessage(message)
        .build();
  }
}
