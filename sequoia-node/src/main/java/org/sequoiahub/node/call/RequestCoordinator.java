package org.sequoiahub.node.call;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.allowance.AllowanceLimiter;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.concurrency.RunPermits;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.dispatch.CandidateShortlist;
import org.sequoiahub.core.dispatch.GenerationPlacement;
import org.sequoiahub.core.dispatch.PlacementSettings;
import org.sequoiahub.core.dispatch.RetryRule;
import org.sequoiahub.core.dispatch.RetryRule.Ending;
import org.sequoiahub.core.dispatch.ServicePlacement;
import org.sequoiahub.core.dispatch.Shutdown;
import org.sequoiahub.core.dispatch.StreamLimits;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.origin.ResumePolicy;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.retry.SharedRetryBudget;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerProbe;
import org.sequoiahub.core.verdict.SendHistory;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.forward.HostSelector;
import org.sequoiahub.node.forward.RequestForwarder;
import org.sequoiahub.node.origin.OriginLookup;
import org.sequoiahub.node.origin.OriginRecorder;
import org.sequoiahub.node.reach.RunnerPathMonitor;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.node.store.ConfigurationStatus;
import org.sequoiahub.node.upstream.Attempt;
import org.sequoiahub.node.upstream.Outcome;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/**
 * Coordinates each request from its arrival to the last byte of its response: admission, choice of
 * a runner, attempts, retries and hedging.
 *
 * <p>Its methods must be called on the decision thread.
 */
public final class RequestCoordinator {

  /** Interval between checks for callers that have disconnected (ms). */
  private static final long CALLER_CHECK_INTERVAL_MILLIS = 100;

  /**
   * Interval between checks of the attempts in progress (ms): for progress, silence and hedging. It
   * is the tick period while no request waits.
   */
  private static final long ATTEMPT_CHECK_INTERVAL_MILLIS = 25;

  /** Retry-After when no runner of the service is known (ms); entries reappear within 2 s. */
  private static final long NO_RUNNER_RETRY_AFTER_MILLIS = 500;

  /** Shortest Retry-After of a rejection for lack of capacity (ms). */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /** Fraction of the target latency after which an idempotent request goes to a second runner. */
  private static final double HEDGE_DELAY_FRACTION = 0.5;

  /** Deadline of a request that states none (ms); the timeout of its route may be shorter. */
  private static final long DEFAULT_DEADLINE_MILLIS = 120_000;

  /** Stands for the version of an adapter that need not be loaded. */
  private static final int NO_LOAD = -1;

  /** The verdict on an attempt whose start has failed with an exception. */
  private static final Verdict NOT_STARTED =
      new Verdict.MayHaveRun("start-failed", "the attempt was not started in order");

  private final FleetView fleet;
  private final CandidateSelector selector;
  private final KeyHasher keyHasher;
  private final Admission admission;
  private final AttemptSender sender;
  private final RetryGate retryGate;
  private final QuarantineGate quarantineGate;
  private final RunnerStates runnerStates;
  private final RunnerPathMonitor runnerPath;
  private final RequestForwarding forwarding;
  private final StreamResumption resumption;
  private final RefusalHandling refusals;
  private final RelayingAttemptListener.Events attempts = new Attempts();
  private final GenerationPlacement generationPlacement =
      new GenerationPlacement(PlacementSettings.DEFAULT);
  private final ServicePlacement servicePlacement = new ServicePlacement(PlacementSettings.DEFAULT);
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;
  private final Runnable inFlightListener;
  private final Random random;
  private final MetricRegistry metrics;
  private final Histogram firstEventMillis;
  private final Histogram totalMillis;
  private final EventLog log;
  private final LocalResponses localResponses;
  private final EarlyEndings earlyEndings;
  private final SilentStreams silentStreams;
  private final EndVerification endVerification;
  private final Set<Call> calls = new LinkedHashSet<>();
  private long lastCallerCheckMillis;
  private long lastAttemptCheckMillis;
  private final WaitingCalls waitingCalls;
  private @Nullable Shutdown shutdown;

  /** Whether the process is about to exit, so that a request would be cut off. */
  private boolean closed;

  /**
   * Creates a coordinator.
   *
   * @param configuration returns the status of the configuration in force
   * @param propagationMillis the time within which a configuration must be in force (ms)
   * @param keyHasher hashes callers' access keys in the same way as those of the configuration
   * @param probe asks runners whether they still run
   * @param hosts selects the host that a request is passed on to
   * @param decisionThread executes tasks on the decision thread
   * @param clock the monotonic time (ms)
   * @param inFlightListener invoked when the load that this host has in flight has changed
   */
  public RequestCoordinator(
      FleetView fleet,
      Supplier<ConfigurationStatus> configuration,
      long propagationMillis,
      KeyHasher keyHasher,
      AllowanceLimiter allowances,
      UpstreamClient upstreams,
      SharedRetryBudget budget,
      QuarantineGate quarantineGate,
      RunnerStates runnerStates,
      RunnerPathMonitor runnerPath,
      HostSelector hosts,
      RequestForwarder forwarder,
      ResumePolicy resumePolicy,
      OriginLookup originLookup,
      OriginRecorder originRecorder,
      RunnerProbe probe,
      Consumer<Runnable> decisionThread,
      LongSupplier clock,
      Runnable inFlightListener,
      Random random,
      MetricRegistry metrics,
      EventLog log) {
    this.metrics = metrics;
    this.firstEventMillis = metrics.histogram("requests.first_event_ms");
    this.totalMillis = metrics.histogram("requests.whole_ms");
    this.fleet = fleet;
    this.selector = new CandidateSelector(fleet, new CandidateShortlist(random));
    this.keyHasher = keyHasher;
    this.admission =
        new Admission(
            fleet::table,
            configuration,
            propagationMillis,
            allowances,
            new WorkspaceMetrics(metrics),
            log);
    this.sender =
        new AttemptSender(
            fleet,
            upstreams,
            (call, active) ->
                new RelayingAttemptListener(
                    call, active, runnerPath, runnerStates, attempts, decisionThread, clock),
            log);
    this.retryGate = new RetryGate(budget, fleet, metrics, log);
    this.quarantineGate = quarantineGate;
    this.runnerStates = runnerStates;
    this.refusals = new RefusalHandling(fleet, selector, runnerStates.runPermits(), metrics, log);
    this.runnerPath = runnerPath;
    this.forwarding =
        new RequestForwarding(
            hosts, forwarder, new ForwardedEndings(), decisionThread, clock, metrics, log);
    this.resumption =
        new StreamResumption(
            fleet,
            resumePolicy,
            originLookup,
            originRecorder,
            call -> place(call, clock.getAsLong()),
            metrics,
            log);
    this.decisionThread = decisionThread;
    this.clock = clock;
    this.inFlightListener = inFlightListener;
    this.random = random;
    this.log = log;
    this.localResponses = new LocalResponses(metrics, log);
    this.earlyEndings = new EarlyEndings(configuration, metrics, log);
    this.waitingCalls = new WaitingCalls(fleet, runnerStates, inFlightListener, log);
    this.endVerification =
        new EndVerification(probe, runnerStates, decisionThread, clock, metrics, log);
    this.silentStreams =
        new SilentStreams(
            fleet,
            selector,
            generationPlacement,
            waitingCalls,
            retryGate,
            new SecondAttempts(),
            metrics,
            log);
  }

  /** Handles a request whose body has been read completely. */
  public void handle(CallerExchange exchange) {
    final long now = clock.getAsLong();
    CallerHeaders headers = HeaderCodec.decodeCaller(exchange.headers(), keyHasher);
    if (shutdown != null) {
      exchange.closeConnectionAfterResponse();
    }
    Admission.Result result = admission.admit(exchange, headers, now);
    if (result instanceof Admission.Permitted permitted) {
      accept(exchange, headers, permitted, now);
    } else if (result instanceof Admission.Denied denied) {
      deny(exchange, headers, denied);
    }
  }

  private void deny(CallerExchange exchange, CallerHeaders headers, Admission.Denied denied) {
    localResponses.reject(
        exchange,
        headers,
        SendHistory.NEVER_SENT,
        denied.status(),
        denied.why(),
        denied.retryMillis());
  }

  private void accept(
      CallerExchange exchange, CallerHeaders headers, Admission.Permitted permitted, long now) {
    Route route = permitted.route();
    String service = route.selectService(StreamResumption.serviceDraw(route, headers, random));
    long requestedMillis =
        headers.deadlineMillis() > 0 ? headers.deadlineMillis() : DEFAULT_DEADLINE_MILLIS;
    long timeoutMillis = Math.min(requestedMillis, route.timeoutMillis());
    long deadlineMillis = now + timeoutMillis;
    if (shutdown != null) {
      if (closed || !shutdown.accepts(timeoutMillis, now)) {
        localResponses.reject(
            exchange,
            headers,
            SendHistory.NEVER_SENT,
            HttpStatus.SERVICE_UNAVAILABLE_503,
            "this host is shutting down",
            MIN_RETRY_AFTER_MILLIS);
        return;
      }
      deadlineMillis = Math.min(deadlineMillis, shutdown.finalStatusMillis());
    }
    CallerExchange.Forwarding forwarded = exchange.forwarding();
    if (forwarded == null) {
      Optional<Admission.Denied> denied = admission.charge(permitted, headers, now);
      if (denied.isPresent()) {
        deny(exchange, headers, denied.get());
        return;
      }
    }
    Call call =
        new Call(
            exchange,
            headers,
            permitted,
            service,
            forwarded == null
                ? retryGate.openAccount(service, now)
                : retryGate.openForwardedAccount(service, forwarded.priorRuns() > 0),
            now,
            deadlineMillis);
    if (forwarded != null) {
      metrics.counter("forwarding.received").inc();
      log.info("request-taken-over", "request", call.id(), "from", forwarded.host());
      call.requiredVersion = forwarded.streamVersion();
    }
    calls.add(call);
    metrics.counter("requests.accepted").inc();
    place(call, now);
  }

  /** Processes what is due: waiting requests, deadlines, silent runners, disconnected callers. */
  public void tick(long nowMillis) {
    endVerification.tick(nowMillis);
    boolean checkCallers = nowMillis - lastCallerCheckMillis >= CALLER_CHECK_INTERVAL_MILLIS;
    if (checkCallers) {
      lastCallerCheckMillis = nowMillis;
    }
    boolean checkAttempts = nowMillis - lastAttemptCheckMillis >= ATTEMPT_CHECK_INTERVAL_MILLIS;
    if (checkAttempts) {
      lastAttemptCheckMillis = nowMillis;
    }
    for (Call call : List.copyOf(calls)) {
      if (call.done) {
        continue;
      }
      if (checkCallers && call.exchange.isCallerDisconnected()) {
        log.info("caller-gone", "request", call.id());
        String reason = "the caller has disconnected";
        abandonAttempts(call, reason, nowMillis);
        earlyEndings.end(call, EarlyEndings.Cause.CALLER_DISCONNECTED, reason, nowMillis);
        remove(call);
      } else if (nowMillis >= call.deadlineMillis()) {
        expire(call, nowMillis);
      } else if (!call.activeAttempts.isEmpty()) {
        if (checkAttempts) {
          checkActiveAttempts(call, nowMillis);
        }
      } else if (call.forwarded == null && waitingCalls.isPlacementDue(call, nowMillis)) {
        place(call, nowMillis);
      }
    }
  }

  /** Returns whether any request waits for a runner, which may become ready at any moment. */
  public boolean hasWaitingRequests() {
    return waitingCalls.isAnyWaiting();
  }

  /**
   * Returns the demand of the waiting requests, and for the adapters of leaving runners, by runner
   * id, if it must be reported now; it is then marked as reported.
   */
  public Optional<Map<String, List<Demand>>> takeDemandsIfDue(long nowMillis) {
    return waitingCalls.takeDemandsIfDue(calls, nowMillis);
  }

  /**
   * Begins a shutdown: callers are asked to close their connections, and from now on only requests
   * that can finish in time are accepted.
   */
  public void beginShutdown(Shutdown requested) {
    shutdown = requested;
    calls.forEach(
        call -> {
          call.exchange.closeConnectionAfterResponse();
          call.shortenDeadline(requested.finalStatusMillis());
        });
  }

  /**
   * Ends the shutdown if no request is in progress and those that come may be rejected: all
   * requests that come later are.
   *
   * <p>The check and the rejection are one step. A request accepted after a check alone would be
   * cut off when the process exits, and its caller could not tell whether it ran.
   *
   * @return whether the shutdown has ended
   */
  public boolean closeIfIdle(long nowMillis) {
    if (shutdown != null && !shutdown.acceptsAll(nowMillis) && calls.isEmpty()) {
      closed = true;
    }
    return closed;
  }

  /** Rejects all requests that come from now on; those in progress go on. */
  public void close() {
    closed = true;
  }

  /** Publishes the metrics of the retry budget; call it periodically. */
  public void publishMetrics(long nowMillis) {
    retryGate.publish(nowMillis);
  }

  /** Returns the number of requests in progress. */
  public int inProgressCount() {
    return calls.size();
  }

  private void place(Call call, long nowMillis) {
    if (admission.isKeyRevoked(call.permitted, call.headers)) {
      rejectRevokedKey(call, nowMillis);
      return;
    }
    StreamResumption.Readiness readiness = resumption.prepare(call, nowMillis);
    if (readiness instanceof StreamResumption.Readiness.Refused refused) {
      refuseResume(call, refused.reason(), nowMillis);
      return;
    }
    if (readiness instanceof StreamResumption.Readiness.Waiting) {
      return;
    }
    if (rejectIfQuarantined(call, NO_LOAD, nowMillis)) {
      return;
    }
    if (!call.mayRunAgain()) {
      fail(call, "an earlier attempt may have run", MIN_RETRY_AFTER_MILLIS);
      return;
    }
    if (runnerPath.isLost()) {
      waitingCalls.stopWaiting(call);
      forwarding.forward(call, nowMillis);
    } else if (call.generation == null) {
      placePlain(call, nowMillis);
    } else {
      placeGeneration(call, call.generation, nowMillis);
    }
  }

  /** Ends a request whose access key was revoked before it could be sent, or sent again. */
  private void rejectRevokedKey(Call call, long nowMillis) {
    String reason = "the access key has been revoked";
    if (call.exchange.isStarted()) {
      earlyEndings.end(call, EarlyEndings.Cause.KEY_REVOKED, reason, nowMillis);
    } else {
      localResponses.end(call, HttpStatus.UNAUTHORIZED_401, reason, -1);
    }
    finish(call, HttpStatus.UNAUTHORIZED_401, reason, nowMillis);
  }

  /** Ends a request that takes up a stream which cannot go on; coming back would not help. */
  private void refuseResume(Call call, String reason, long nowMillis) {
    if (call.exchange.isStarted()) {
      fail(call, reason, 0);
      return;
    }
    int status = localResponses.endUnserved(call, HttpStatus.BAD_GATEWAY_502, reason, -1, -1);
    finish(call, status, reason, nowMillis);
  }

  private void placePlain(Call call, long nowMillis) {
    List<Candidate> candidates = selector.candidates(call, null, nowMillis);
    Optional<Candidate> chosen =
        servicePlacement.choose(candidates, call.waitingAtId(), random.nextDouble());
    if (chosen.isEmpty()) {
      fail(call, StreamResumption.noRunnerReason(call), NO_RUNNER_RETRY_AFTER_MILLIS);
      return;
    }
    Candidate candidate = chosen.get();
    if (isSentTooLate(call, candidate, nowMillis)) {
      rejectUntilSendable(call, candidates);
    } else if (tryAcquire(call, candidate, nowMillis)) {
      startAttempt(call, candidate.runner(), 0, 0, nowMillis);
    } else {
      waitingCalls.waitAt(call, candidate, nowMillis);
    }
  }

  private void placeGeneration(Call call, Generation generation, long nowMillis) {
    List<Candidate> candidates = selector.candidates(call, generation, nowMillis);
    StreamLimits limits = selector.streamLimits(call, nowMillis);
    Optional<GenerationPlacement.Choice> chosen =
        generationPlacement.choose(generation, limits, candidates, call.waitingAtId());
    if (chosen.isEmpty()) {
      fail(call, StreamResumption.noRunnerReason(call), NO_RUNNER_RETRY_AFTER_MILLIS);
      return;
    }
    GenerationPlacement.Choice choice = chosen.get();
    Candidate candidate = choice.candidate();
    if (isSentTooLate(call, candidate, nowMillis)) {
      rejectUntilSendable(call, candidates);
      return;
    }
    if (nowMillis + choice.firstTokenMillis() > call.nextEventDeadlineMillis()) {
      // A caller that retries sooner would be rejected again.
      fail(call, "the next event would miss its deadline", (long) choice.firstTokenMillis());
      return;
    }
    int loadedVersion = candidate.heldOrLoading() ? NO_LOAD : fleet.newestVersion(call.adapter());
    if (rejectIfQuarantined(call, loadedVersion, nowMillis)) {
      return;
    }
    boolean ready = candidate.heldOrLoading() && candidate.adapterWaitMillis() <= 0;
    if (ready
        && generationPlacement.mayStartReading(candidate, limits)
        && tryAcquire(call, candidate, nowMillis)) {
      long firstToken = (long) choice.firstTokenMillis();
      startAttempt(call, candidate.runner(), candidate.unreadTokens(), firstToken, nowMillis);
    } else {
      waitingCalls.waitAt(call, candidate, nowMillis);
    }
  }

  /** Takes the right to send a request to a runner now, or requests a permit. */
  private boolean tryAcquire(Call call, Candidate candidate, long nowMillis) {
    return runnerStates.tryAcquire(
        candidate.runner().id(), call, call.permitPriority(nowMillis), nowMillis);
  }

  private boolean isSentTooLate(Call call, Candidate candidate, long nowMillis) {
    return runnerStates
        .availability()
        .isTooLate(
            candidate.runner().id(),
            candidate.sendDecision(),
            call.targetMillis(),
            call.nextEventDeadlineMillis(),
            nowMillis);
  }

  /** Rejects a request until the earliest time at which a runner's limit or backoff admits it. */
  private void rejectUntilSendable(Call call, List<Candidate> candidates) {
    Candidate earliest =
        Collections.min(candidates, Comparator.comparingLong(Candidate::sendWaitMillis));
    boolean limited = earliest.sendDecision().waitsForPermit();
    metrics.counter(limited ? "runner_limits.rejected" : "runner_backoff.rejected").inc();
    fail(
        call,
        limited
            ? "the limits of the service's runners leave no permit in time"
            : "the service's runners asked this host to send nothing for some time",
        earliest.sendWaitMillis());
  }

  /** Places the requests again that wait for a permit at these runners. */
  public void permitsReceived(Set<String> runners, long nowMillis) {
    calls.stream()
        .filter(call -> call.waitsToSend && call.activeAttempts.isEmpty())
        .filter(call -> runners.contains(call.waitingAtId()))
        .sorted(Comparator.comparingInt(call -> call.permitPriority(nowMillis)))
        .toList()
        .forEach(call -> place(call, nowMillis));
  }

  /** Rejects a request that would terminate runners; returns whether it did. */
  private boolean rejectIfQuarantined(Call call, int loadedVersion, long nowMillis) {
    Optional<QuarantineGate.Rejection> rejection =
        quarantineGate.check(call, loadedVersion, nowMillis);
    rejection.ifPresent(
        rejected -> fail(call, rejected.reason(), rejected.untilMillis() - nowMillis));
    return rejection.isPresent();
  }

  private void recordSuccess(
      Call call, Call.@Nullable ActiveAttempt active, Framing framing, long nowMillis) {
    quarantineGate.recordSuccess(
        call, active, framing, fleet.newestVersion(call.adapter()), nowMillis);
  }

  private void startAttempt(
      Call call, RunnerEntry runner, int unreadTokens, long firstTokenMillis, long nowMillis) {
    if (!retryGate.chargeSend(call, nowMillis)) {
      fail(call, "the retry budget is exhausted", MIN_RETRY_AFTER_MILLIS);
      return;
    }
    waitingCalls.stopWaiting(call);
    Call.ActiveAttempt active =
        new Call.ActiveAttempt(
            call.sends.begin(), runner, nowMillis, firstTokenMillis, unreadTokens);
    call.activeAttempts.add(active);
    fleet.speeds().recordSending(active, fleet.fleetLoad(), nowMillis);
    fleet.fleetLoad().add(runner.id(), 1, unreadTokens, 0, call.adapter());
    runnerStates.recordSent(runner.id(), CallKind.REQUEST, nowMillis);
    runnerPath.recordSent(nowMillis);
    quarantineGate.recordSent(call, nowMillis);
    if (call.generation != null) {
      fleet.recordSentPrompt(runner, call.generation);
    }
    inFlightListener.run();
    active.attempt = sender.send(call, active, nowMillis);
  }

  private final class Attempts implements RelayingAttemptListener.Events {
    @Override
    public void onFirstEvent(Call call, Call.ActiveAttempt active) {
      RequestCoordinator.this.onFirstEvent(call, active);
    }

    @Override
    public void onEnded(Call call, Call.ActiveAttempt active, Outcome outcome) {
      onAttemptEnded(call, active, outcome);
    }
  }

  /** Continues with a request when the attempt of another host has ended. */
  private final class ForwardedEndings implements RequestForwarding.CallEndings {
    @Override
    public void place(Call call, long nowMillis) {
      RequestCoordinator.this.place(call, nowMillis);
    }

    @Override
    public void fail(Call call, String reason, long retryAfterMillis) {
      RequestCoordinator.this.fail(call, reason, retryAfterMillis);
    }

    @Override
    public void finish(Call call, int status, String reason, long nowMillis) {
      RequestCoordinator.this.finish(call, status, reason, nowMillis);
    }

    @Override
    public void succeeded(Call call, long nowMillis) {
      recordSuccess(call, null, Framing.CONNECTION_END, nowMillis);
    }
  }

  private void onFirstEvent(Call call, Call.ActiveAttempt active) {
    resumption.firstEventRelayed(call, clock.getAsLong());
    if (!active.firstEventReceived && call.activeAttempts.contains(active)) {
      active.firstEventReceived = true;
      active.firstEventMillis = clock.getAsLong();
      fleet.speeds().recordFirstEvent(active, active.firstEventMillis);
      fleet.fleetLoad().add(active.runner.id(), 0, -active.unreadTokens, 0, "");
      active.unreadTokens = 0;
      firstEventMillis.update(clock.getAsLong() - call.arrivedMillis);
      log.debug(
          "first-event",
          "request",
          call.id(),
          "runner",
          active.runner.id(),
          "took_ms",
          clock.getAsLong() - active.startedMillis);
      inFlightListener.run();
    }
  }

  /** Handles the end of an attempt; an end that may be a truncation waits for its sender. */
  private void onAttemptEnded(Call call, Call.ActiveAttempt active, Outcome outcome) {
    if (call.activeAttempts.contains(active) && endVerification.isNeeded(outcome)) {
      endVerification.decide(
          call,
          active,
          outcome,
          clock.getAsLong(),
          decided -> onAttemptDecided(call, active, decided));
      return;
    }
    onAttemptDecided(call, active, outcome);
  }

  private void onAttemptDecided(Call call, Call.ActiveAttempt active, Outcome outcome) {
    silentStreams.settle(call, clock.getAsLong());
    if (!call.activeAttempts.remove(active)) {
      return;
    }
    call.sends.end(active.number, outcome.verdict());
    releaseLoad(call, active, RefusalHandling.end(outcome));
    if (call.done) {
      return;
    }
    long now = clock.getAsLong();
    fleet.speeds().recordStated(active, now);
    if (outcome instanceof Outcome.StreamCompleted completed) {
      fleet.health(active.runner).succeeded(now - active.startedMillis, now);
      cancelAttempts(call, "another attempt was answered");
      call.relay.complete();
      recordSuccess(call, active, completed.framing(), now);
      finish(call, HttpStatus.OK_200, "", now);
    } else if (outcome instanceof Outcome.Answered answered) {
      onResponse(call, active, answered, now);
    } else if (outcome instanceof Outcome.Refused refused) {
      onRefusal(call, active, refused, now);
    } else if (outcome instanceof Outcome.NotSent notSent) {
      if (notSent.connect() == Outcome.NotSent.Connect.TIMED_OUT) {
        fleet.health(active.runner).connectTimedOut(now);
      } else {
        fleet.health(active.runner).unreachable(now);
      }
      if (notSent.connect() != Outcome.NotSent.Connect.NONE) {
        runnerPath.recordConnectFailure(
            active.runner, notSent.connect() == Outcome.NotSent.Connect.REFUSED);
      }
      onAttemptFailed(call, active, Ending.NOT_SENT, notSent.reason(), null, now);
    } else if (outcome instanceof Outcome.ResponseLost lost) {
      fleet.health(active.runner).failed(now);
      quarantineGate.logLostResponse(call, active, now);
      if (lost.connectionBroken() && !runnerPath.isLost()) {
        quarantineGate.recordBrokenConnection(call, active, now);
      }
      onAttemptFailed(call, active, Ending.LOST, lost.reason(), null, now);
    }
  }

  private void onResponse(
      Call call, Call.ActiveAttempt active, Outcome.Answered answered, long now) {
    if (silentStreams.isStandby(call, active)) {
      // The first runner may still go on.
      String reason = "the second runner answered with status " + answered.status();
      onAttemptFailed(call, active, Ending.FAILED, reason, null, now);
      return;
    }
    if (answered.status() < HttpStatus.INTERNAL_SERVER_ERROR_500
        && !CallerExchange.guaranteesNotRun(answered.status())) {
      fleet.health(active.runner).succeeded(now - active.startedMillis, now);
      cancelAttempts(call, "another attempt was answered");
      if (HttpStatus.isSuccess(answered.status())) {
        recordSuccess(call, active, answered.framing(), now);
        if (call.generation == null) {
          fleet.speeds().recordResponse(active, now);
        }
      }
      forwardResponse(call, answered, now);
      return;
    }
    fleet.health(active.runner).failed(now);
    onAttemptFailed(
        call,
        active,
        Ending.FAILED,
        "the runner failed with status " + answered.status(),
        answered,
        now);
  }

  private void onRefusal(Call call, Call.ActiveAttempt active, Outcome.Refused refused, long now) {
    refusals.apply(call, active.runner, refused, now);
    onAttemptFailed(
        call,
        active,
        Ending.REFUSED,
        "the runner refused the request with status " + refused.status(),
        null,
        now);
  }

  private void onAttemptFailed(
      Call call,
      Call.ActiveAttempt active,
      Ending ending,
      String reason,
      Outcome.@Nullable Answered response,
      long now) {
    metrics.counter("attempts.ended." + ending.name().toLowerCase(Locale.ROOT)).inc();
    log.info(
        "attempt-failed",
        "request",
        call.id(),
        "runner",
        active.runner.id(),
        "ending",
        ending,
        "why",
        reason,
        "sends",
        call.sends.count(),
        "verdicts",
        call.sends.summary(),
        "runs",
        call.sends.possibleRuns(),
        "after_ms",
        now - call.arrivedMillis);
    if (ending != Ending.REFUSED) {
      call.excludedRunners.add(active.runner.id());
    }
    if (silentStreams.goesOnAfter(call, active, now)) {
      return;
    }
    boolean mayOfferAgain =
        RetryRule.mayRetry(
            ending,
            call.route.repeatPolicy(),
            call.sends.count(),
            call.sends.possibleRuns(),
            call.route.maxAttempts(),
            call.deadlineMillis() - now);
    if (RetryRule.usesRetryBudget(ending)) {
      call.retryAccount.recordRunnerReached();
    }
    if (mayOfferAgain && retryGate.mayRetry(call, now)) {
      place(call, now);
    } else if (response != null) {
      forwardResponse(call, response, now);
    } else {
      fail(call, reason, MIN_RETRY_AFTER_MILLIS);
    }
  }

  /** Forwards a runner's complete response to the caller. */
  private void forwardResponse(Call call, Outcome.Answered answered, long now) {
    if (CallerExchange.guaranteesNotRun(answered.status())) {
      // The status would promise that the request has not run, which the runner did not state.
      localResponses.respond(call, HttpStatus.BAD_GATEWAY_502, "the runner failed", -1);
    } else {
      call.exchange.respond(answered.status(), answered.headers(), answered.body());
    }
    finish(call, answered.status(), "", now);
  }

  /**
   * Ends a request that cannot be served, with a status that tells whether it may have run.
   *
   * @param retryAfterMillis when the caller may retry if the request has not run (ms)
   */
  private void fail(Call call, String reason, long retryAfterMillis) {
    long now = clock.getAsLong();
    cancelAttempts(call, "the request has failed");
    OptionalLong quarantinedUntil = quarantineGate.quarantinedUntilMillis(call, now);
    boolean started = call.exchange.isStarted();
    if (started) {
      earlyEndings.end(call, EarlyEndings.Cause.ATTEMPTS_FAILED, reason, now);
      finish(call, 0, reason, now);
      return;
    }
    long retryAfter = quarantinedUntil.orElse(now + retryAfterMillis) - now;
    int status =
        localResponses.endUnserved(
            call,
            HttpStatus.BAD_GATEWAY_502,
            reason,
            Math.max(MIN_RETRY_AFTER_MILLIS, retryAfter),
            // The caller may retry at once, unless the request is quarantined.
            quarantinedUntil.isPresent() ? quarantinedUntil.getAsLong() - now : -1);
    finish(call, status, reason, now);
  }

  private void expire(Call call, long nowMillis) {
    String reason = "deadline exceeded";
    abandonAttempts(call, reason, nowMillis);
    int status = HttpStatus.GATEWAY_TIMEOUT_504;
    if (call.exchange.isStarted()) {
      earlyEndings.end(call, EarlyEndings.Cause.DEADLINE, reason, nowMillis);
    } else {
      status = localResponses.endUnserved(call, status, reason, 0, -1);
    }
    finish(call, status, reason, nowMillis);
  }

  private void checkActiveAttempts(Call call, long nowMillis) {
    for (Call.ActiveAttempt active : call.activeAttempts) {
      quarantineGate.recordProgress(call, active, nowMillis);
      fleet.health(active.runner).responded(call.relay.lastChunkMillis(active.number));
      if (active.attempt != null
          && (runnerPath.isLost() || !fleet.isOpen(active.runner, nowMillis))) {
        active.attempt.withdrawIfUnsent("the runner takes no requests any more");
      }
    }
    if (call.route.repeatPolicy() == RepeatPolicy.IDEMPOTENT) {
      hedgeIfSlow(call, nowMillis);
    } else {
      silentStreams.check(call, nowMillis);
    }
  }

  private void hedgeIfSlow(Call call, long nowMillis) {
    long hedgeDelayMillis = (long) (call.route.targetLatencyMillis() * HEDGE_DELAY_FRACTION);
    if (call.activeAttempts.size() == 1
        && nowMillis - call.activeAttempts.get(0).startedMillis >= hedgeDelayMillis
        && call.mayAddAttempt()
        && !quarantineGate.isSuspect(call, nowMillis)) {
      hedge(call, nowMillis);
    }
  }

  private void hedge(Call call, long nowMillis) {
    Optional<Candidate> second =
        servicePlacement.choose(
            selector.candidates(call, null, nowMillis), "", random.nextDouble());
    if (second.isPresent()
        && second.get().sendDecision() instanceof SendDecision.Now
        && tryAcquire(call, second.get(), nowMillis)
        && retryGate.chargeHedge(call, nowMillis)) {
      log.info("request-hedged", "request", call.id());
      startAttempt(call, second.get().runner(), 0, 0, nowMillis);
    }
  }

  /** Makes and ends second attempts at streams whose runner is silent. */
  private final class SecondAttempts implements SilentStreams.Attempts {
    @Override
    public boolean maySend(Call call, long nowMillis) {
      return !admission.isKeyRevoked(call.permitted, call.headers)
          && resumption.prepare(call, nowMillis) instanceof StreamResumption.Readiness.Ready
          && !quarantineGate.isSuspect(call, nowMillis);
    }

    @Override
    public boolean passOnIfPathLost(Call call, Call.ActiveAttempt attempt, long nowMillis) {
      if (!runnerPath.isLost()) {
        return false;
      }
      if (forwarding.canForward(call, nowMillis) && maySend(call, nowMillis)) {
        cancel(call, attempt, "the path to the runners is lost", nowMillis);
        place(call, nowMillis);
      }
      return true;
    }

    @Override
    public boolean tryAcquire(Call call, Candidate candidate, long nowMillis) {
      return RequestCoordinator.this.tryAcquire(call, candidate, nowMillis);
    }

    @Override
    public void start(Call call, GenerationPlacement.Choice choice, long nowMillis) {
      Candidate candidate = choice.candidate();
      long firstToken = (long) choice.firstTokenMillis();
      startAttempt(call, candidate.runner(), candidate.unreadTokens(), firstToken, nowMillis);
    }

    @Override
    public void cancel(Call call, Call.ActiveAttempt attempt, String reason, long nowMillis) {
      call.excludedRunners.add(attempt.runner.id());
      abandonAttempt(call, attempt, reason, nowMillis);
    }
  }

  private void cancelAttempts(Call call, String reason) {
    forwarding.cancel(call);
    List.copyOf(call.activeAttempts).forEach(active -> cancelAttempt(call, active, reason));
  }

  /** Cancels all attempts and records that they were not answered. */
  private void abandonAttempts(Call call, String reason, long nowMillis) {
    forwarding.cancel(call);
    List.copyOf(call.activeAttempts)
        .forEach(active -> abandonAttempt(call, active, reason, nowMillis));
  }

  private void abandonAttempt(Call call, Call.ActiveAttempt active, String reason, long nowMillis) {
    Verdict verdict = cancelAttempt(call, active, reason);
    quarantineGate.recordUnanswered(call, active, verdict, nowMillis);
  }

  /** Cancels an attempt and returns whether it may have run. */
  private Verdict cancelAttempt(Call call, Call.ActiveAttempt active, String reason) {
    call.activeAttempts.remove(active);
    Attempt attempt = active.attempt;
    Verdict verdict = attempt == null ? NOT_STARTED : attempt.cancel(reason);
    call.sends.end(active.number, verdict);
    releaseLoad(call, active, RunPermits.End.CANCELLED);
    return verdict;
  }

  private void releaseLoad(Call call, Call.ActiveAttempt active, RunPermits.End end) {
    runnerStates.recordEnded(active.runner.id(), end, clock.getAsLong());
    fleet.fleetLoad().add(active.runner.id(), -1, -active.unreadTokens, 0, call.adapter());
    active.unreadTokens = 0;
    inFlightListener.run();
  }

  private void finish(Call call, int status, String reason, long now) {
    metrics.counter("requests.ended." + status).inc();
    if (status == HttpStatus.OK_200) {
      totalMillis.update(now - call.arrivedMillis);
    }
    log.info(
        "request-done",
        "request",
        call.id(),
        "status",
        status,
        "why",
        reason,
        "took_ms",
        now - call.arrivedMillis);
    remove(call);
  }

  private void remove(Call call) {
    call.done = true;
    if (call.sends.verdict() instanceof Verdict.NotRun && !call.isFromOtherHost()) {
      admission.refund(call.permitted, call.headers, call.arrivedMillis);
    }
    waitingCalls.stopWaiting(call);
    calls.remove(call);
    inFlightListener.run();
  }
}
