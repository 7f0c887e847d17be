package org.sequoiahub.node.call;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.allowance.AllowanceKeeper;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.dispatch.GenerationPlacement;
import org.sequoiahub.core.dispatch.PlacementSettings;
import org.sequoiahub.core.dispatch.RetryRule;
import org.sequoiahub.core.dispatch.RetryRule.Ending;
import org.sequoiahub.core.dispatch.ServicePlacement;
import org.sequoiahub.core.dispatch.Shutdown;
import org.sequoiahub.core.dispatch.StreamLimits;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.quarantine.Hold;
import org.sequoiahub.core.quarantine.LoadGuard;
import org.sequoiahub.core.quarantine.RequestFingerprint;
import org.sequoiahub.core.retry.SharedRetryBudget;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.Repetition;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.upstream.AttemptListener;
import org.sequoiahub.node.upstream.Outcome;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;
import org.sequoiahub.usersplatform.HeaderCodec.RunnerHeaders;

/** Takes requests from their arrival to their last byte; runs on the decision thread. */
public final class RequestCoordinator {

  /** How often callers are looked after that may have gone (ms). */
  private static final long LOOK_MILLIS = 100;

  /**
   * For this long a request waits where it began to, unless its adapter is elsewhere (ms): a load
   * and a half. A request that moves sooner goes to and fro and is last in each queue.
   */
  private static final long SETTLED_MILLIS = 400;

  /**
   * A waiting request looks at all runners this often at most (ms); between, only at the one where
   * it waits and at those that have its adapter. What hosts tell each other comes no sooner, and a
   * look costs more the more runners there are.
   */
  private static final long LOOK_ROUND_MILLIS = 100;

  /**
   * A request whose adapter is there waits for prompts ahead of it: it is placed again this often
   * (ms).
   */
  private static final long PLACE_AGAIN_MILLIS = 30;

  /**
   * One that waits for its adapter is placed again when what its runner holds changes, when the
   * adapter is due, and this often (ms): in between it would only find the same again.
   */
  private static final long ADAPTER_LOOK_MILLIS = 100;

  /** What requests wait for is told on a change and at least this often (ms): it grows old. */
  private static final long DEMAND_MILLIS = 60;

  /** Retry-After when no runner of the service is known (ms): entries come back within 2 s. */
  private static final long NO_RUNNER_RETRY_MILLIS = 500;

  /** Shortest Retry-After of a refusal for want of room (ms). */
  private static final long BUSY_RETRY_MILLIS = 100;

  /** A second runner gets an idempotent request after this part of its target latency. */
  private static final double HEDGE_PART = 0.5;

  /** A resumable stream without an event for this long goes on elsewhere (ms). */
  private static final long STREAM_SILENCE_MILLIS = 1_500;

  /** Deadline of a request that names none and whose route is generous (ms). */
  private static final long MAX_DEADLINE_MILLIS = 120_000;

  private final FleetView fleet;
  private final KeyHasher keys;
  private final Admission admission;
  private final UpstreamClient upstreams;
  private final RetryGate retries;
  private final QuarantineGate quarantine;
  private final LoadGuard loadGuard;
  private final GenerationPlacement generations =
      new GenerationPlacement(PlacementSettings.DEFAULT);
  private final ServicePlacement services = new ServicePlacement(PlacementSettings.DEFAULT);
  private final Consumer<Runnable> decisions;
  private final LongSupplier clock;
  private final Runnable changed;
  private final Random random;
  private final MetricRegistry metrics;
  private final Histogram firstEventMillis;
  private final Histogram wholeMillis;
  private final EventLog log;
  private final OwnAnswers answers;
  private final Set<Call> calls = new LinkedHashSet<>();
  private long lookedMillis;
  private int waiting;
  private boolean demandsChanged;
  private long demandsToldMillis;
  private @Nullable Shutdown shutdown;

  /**
   * Creates a coordinator.
   *
   * @param keys hashes callers' access keys as the configuration's were
   * @param changed told when what this host has in flight has changed
   */
  public RequestCoordinator(
      FleetView fleet,
      KeyHasher keys,
      AllowanceKeeper allowances,
      UpstreamClient upstreams,
      SharedRetryBudget budget,
      QuarantineGate quarantine,
      LoadGuard loadGuard,
      Consumer<Runnable> decisions,
      LongSupplier clock,
      Runnable changed,
      Random random,
      MetricRegistry metrics,
      EventLog log) {
    this.metrics = metrics;
    this.firstEventMillis = metrics.histogram("requests.first_event_ms");
    this.wholeMillis = metrics.histogram("requests.whole_ms");
    this.fleet = fleet;
    this.keys = keys;
    this.admission = new Admission(fleet::table, allowances, new WorkspaceMetrics(metrics), log);
    this.upstreams = upstreams;
    this.retries = new RetryGate(budget, fleet, metrics, log);
    this.quarantine = quarantine;
    this.loadGuard = loadGuard;
    this.decisions = decisions;
    this.clock = clock;
    this.changed = changed;
    this.random = random;
    this.log = log;
    this.answers = new OwnAnswers(metrics, log);
  }

  /** Takes a request whose body has been read. */
  public void arrived(CallerExchange exchange) {
    final long now = clock.getAsLong();
    CallerHeaders headers = HeaderCodec.decodeCaller(exchange.headers(), keys);
    if (shutdown != null) {
      exchange.closeAfterwards();
    }
    Admission.Result result = admission.permit(exchange, headers);
    if (result instanceof Admission.Permitted permitted) {
      accept(exchange, headers, permitted, now);
    } else if (result instanceof Admission.Denied denied) {
      deny(exchange, headers, denied);
    }
  }

  private void deny(CallerExchange exchange, CallerHeaders headers, Admission.Denied denied) {
    answers.finish(exchange, headers, denied.status(), denied.why(), denied.retryMillis());
  }

  private void accept(
      CallerExchange exchange, CallerHeaders headers, Admission.Permitted permitted, long now) {
    Route route = permitted.route();
    String service = route.service(random.nextDouble());
    long deadline = headers.deadlineMillis() > 0 ? headers.deadlineMillis() : MAX_DEADLINE_MILLIS;
    long wanted = Math.min(deadline, route.timeoutMillis());
    long end = now + wanted;
    if (shutdown != null) {
      if (!shutdown.takes(wanted, now)) {
        answers.refuse(exchange, headers, "stopping", BUSY_RETRY_MILLIS);
        return;
      }
      end = Math.min(end, shutdown.lastWordMillis());
    }
    Optional<Admission.Denied> beyond = admission.charge(permitted, headers, now);
    if (beyond.isPresent()) {
      deny(exchange, headers, beyond.get());
      return;
    }
    Call call =
        new Call(exchange, headers, permitted, service, retries.opened(service, now), now, end);
    calls.add(call);
    metrics.counter("requests.accepted").inc();
    place(call, now);
  }

  /** Does what is due: waiting requests, deadlines, silent runners, callers that left. */
  public void tick(long nowMillis) {
    boolean look = nowMillis - lookedMillis >= LOOK_MILLIS;
    if (look) {
      lookedMillis = nowMillis;
    }
    for (Call call : List.copyOf(calls)) {
      if (call.done) {
        continue;
      }
      if (look && call.exchange.callerGone()) {
        log.info("caller-gone", "request", call.id());
        call.running.forEach(running -> quarantine.unanswered(call, running, nowMillis));
        cancelAll(call, "the caller has gone");
        call.exchange.breakOff("the caller has gone");
        finished(call);
      } else if (nowMillis >= call.endMillis()) {
        expired(call, nowMillis);
      } else if (call.running.isEmpty()) {
        if (mayBePlacedAnew(call, nowMillis)) {
          place(call, nowMillis);
        }
      } else {
        watchRunning(call, nowMillis);
      }
    }
  }

  private boolean mayBePlacedAnew(Call call, long nowMillis) {
    RunnerEntry runner = call.waitingAt;
    return nowMillis >= call.placeAgainMillis
        || runner == null
        || fleet.holdingChanges(runner) != call.holdingChanges;
  }

  /** Returns whether a request waits for something that may come any moment. */
  public boolean isAnyWaiting() {
    return waiting > 0;
  }

  /** Returns whether what requests wait for is to be told now; if so, it counts as told. */
  public boolean demandsDue(long nowMillis) {
    boolean repeated = waiting > 0 && nowMillis - demandsToldMillis >= DEMAND_MILLIS;
    if (!demandsChanged && !repeated) {
      return false;
    }
    demandsChanged = false;
    demandsToldMillis = nowMillis;
    return true;
  }

  /** Returns what requests wait for, by runner. */
  public Map<String, List<Demand>> demands(long nowMillis) {
    Map<String, Map<String, Demand>> byRunner = new HashMap<>();
    for (Call call : calls) {
      RunnerEntry runner = call.waitingAt;
      Generation generation = call.generation;
      if (runner != null && generation != null) {
        int inTime = nowMillis - call.arrivedMillis < call.route.targetLatencyMillis() ? 1 : 0;
        Demand demand =
            new Demand(generation.model(), generation.adapter(), 1, inTime, call.priority());
        byRunner
            .computeIfAbsent(runner.id(), id -> new HashMap<>())
            .merge(demand.target(), demand, Demand::plus);
      }
    }
    Map<String, List<Demand>> demands = new HashMap<>();
    byRunner.forEach((runner, list) -> demands.put(runner, List.copyOf(list.values())));
    return demands;
  }

  /** Asks callers to close their connections, and takes only what can be finished. */
  public void stop(Shutdown begun) {
    shutdown = begun;
    calls.forEach(
        call -> {
          call.exchange.closeAfterwards();
          call.endBy(begun.lastWordMillis());
        });
  }

  /** Does what is due now and then. */
  public void upkeep(long nowMillis) {
    retries.publish(nowMillis);
  }

  /** Returns how many requests are in progress. */
  public int size() {
    return calls.size();
  }

  private void place(Call call, long nowMillis) {
    if (admission.isWithdrawn(call.permitted, call.headers)) {
      withdrawn(call, nowMillis);
      return;
    }
    Optional<Hold> hold = quarantine.hold(call, nowMillis);
    if (hold.isPresent()) {
      quarantine.heldBack(call, hold.get(), nowMillis);
      giveUp(call, "held back: runners ended under this request", 0);
    } else if (call.generation == null) {
      placePlain(call, nowMillis);
    } else {
      placeGeneration(call, call.generation, nowMillis);
    }
  }

  /** Ends a request whose key was withdrawn before it could start, or start again. */
  private void withdrawn(Call call, long nowMillis) {
    String why = "the key was withdrawn";
    if (call.exchange.isStarted()) {
      call.exchange.breakOff(why);
    } else {
      answers.finish(call.exchange, call.headers, HttpStatus.UNAUTHORIZED_401, why, -1);
    }
    done(call, HttpStatus.UNAUTHORIZED_401, why, nowMillis);
  }

  private void placePlain(Call call, long nowMillis) {
    List<Candidate> candidates = candidates(call, null, nowMillis);
    Optional<Candidate> chosen = services.choose(candidates, random.nextDouble());
    if (chosen.isEmpty()) {
      giveUp(call, "no runner", NO_RUNNER_RETRY_MILLIS);
      return;
    }
    start(call, chosen.get().runner(), 0, nowMillis);
  }

  private void placeGeneration(Call call, Generation generation, long nowMillis) {
    List<Candidate> candidates = candidates(call, generation, nowMillis);
    RunnerEntry before = call.waitingAt;
    StreamLimits limits = limits(call, nowMillis);
    Optional<GenerationPlacement.Choice> chosen =
        generations.choose(generation, limits, candidates, before == null ? "" : before.id());
    if (chosen.isEmpty()) {
      giveUp(call, "no runner", NO_RUNNER_RETRY_MILLIS);
      return;
    }
    GenerationPlacement.Choice choice = chosen.get();
    Candidate candidate = choice.candidate();
    if (nowMillis + choice.firstTokenMillis() > call.firstEventByMillis()) {
      // Whoever returns sooner is refused again.
      giveUp(call, "would be late", (long) choice.firstTokenMillis());
      return;
    }
    Optional<Hold> load = candidate.present() ? Optional.empty() : loadHold(call, nowMillis);
    if (load.isPresent()) {
      quarantine.heldBack(call, load.get(), nowMillis);
      giveUp(
          call,
          "held back: runners ended while they loaded its adapter",
          load.get().untilMillis() - nowMillis);
      return;
    }
    boolean there = candidate.present() && candidate.adapterWaitMillis() <= 0;
    if (there && generations.mayRead(candidate, limits)) {
      start(call, candidate.runner(), candidate.unreadTokens(), nowMillis);
    } else {
      waitAt(call, candidate, nowMillis);
    }
  }

  private Optional<Hold> loadHold(Call call, long nowMillis) {
    String adapter = call.adapter();
    return adapter.isEmpty()
        ? Optional.empty()
        : loadGuard.hold(adapter, fleet.newestVersion(adapter), nowMillis);
  }

  /** Records that a request, and the adapter that it used, had a good answer. */
  private void served(Call call, long nowMillis) {
    quarantine.answered(call, nowMillis);
    String adapter = call.adapter();
    if (!adapter.isEmpty()) {
      loadGuard.served(adapter, fleet.newestVersion(adapter), nowMillis);
    }
  }

  /**
   * Returns the runners that a request chooses from: all, but while it has not waited long or has
   * just looked round, only the one where it waits and those that have its adapter. What hosts tell
   * of queues changes from one datagram to the next, and each move begins another wait at its end.
   */
  private List<RunnerEntry> choice(Call call, @Nullable Generation generation, long nowMillis) {
    List<RunnerEntry> usable = fleet.usable(call.service, nowMillis);
    RunnerEntry before = call.waitingAt;
    if (before == null || generation == null) {
      return usable;
    }
    boolean settling = nowMillis - call.waitingSinceMillis < SETTLED_MILLIS;
    if (!settling && nowMillis - call.lookedRoundMillis >= LOOK_ROUND_MILLIS) {
      call.lookedRoundMillis = nowMillis;
      return usable;
    }
    boolean stillUsable = false;
    List<RunnerEntry> few = new ArrayList<>();
    for (RunnerEntry runner : usable) {
      boolean here = runner.id().equals(before.id());
      stillUsable |= here;
      if (here || fleet.isKnownAt(runner, generation)) {
        few.add(runner);
      }
    }
    return stillUsable ? few : usable;
  }

  private StreamLimits limits(Call call, long nowMillis) {
    int tokensPerEvent = fleet.engine(call.service).map(EngineSpec::tokensPerEvent).orElse(1);
    long inTime = call.arrivedMillis + call.route.targetLatencyMillis() - nowMillis;
    return new StreamLimits(fleet.pauseMillis(call.service), tokensPerEvent, inTime);
  }

  private void waitAt(Call call, Candidate candidate, long nowMillis) {
    long adapterWait = candidate.adapterWaitMillis();
    call.placeAgainMillis =
        nowMillis
            + (adapterWait > 0 ? Math.min(ADAPTER_LOOK_MILLIS, adapterWait) : PLACE_AGAIN_MILLIS);
    call.holdingChanges = fleet.holdingChanges(candidate.runner());
    RunnerEntry before = call.waitingAt;
    if (before != null && before.id().equals(candidate.runner().id())) {
      return;
    }
    stopWaiting(call);
    call.waitingAt = candidate.runner();
    waiting++;
    demandsChanged = true;
    call.waitingSinceMillis = nowMillis;
    call.waitingTokens = candidate.unreadTokens();
    fleet.loads().add(candidate.runner().id(), 1, 0, call.waitingTokens, call.adapter());
    log.info(
        "request-waits",
        "request",
        call.id(),
        "runner",
        candidate.runner().id(),
        "adapter",
        call.adapter(),
        "wait_ms",
        candidate.adapterWaitMillis(),
        "present",
        candidate.present());
    changed.run();
  }

  private void stopWaiting(Call call) {
    RunnerEntry before = call.waitingAt;
    if (before != null) {
      fleet.loads().add(before.id(), -1, 0, -call.waitingTokens, call.adapter());
      call.waitingAt = null;
      waiting--;
      demandsChanged = true;
    }
  }

  private List<Candidate> candidates(Call call, @Nullable Generation generation, long nowMillis) {
    List<Candidate> candidates = new ArrayList<>();
    int adapterUses = fleet.adapterUses(generation, nowMillis);
    for (RunnerEntry runner : choice(call, generation, nowMillis)) {
      boolean running = call.running.stream().anyMatch(r -> r.runner.id().equals(runner.id()));
      if (!call.tried.contains(runner.id()) && !running) {
        boolean counted = call.waitingAt != null && call.waitingAt.id().equals(runner.id());
        candidates.add(
            fleet.candidate(
                runner, generation, counted ? call.waitingTokens : -1, adapterUses, nowMillis));
      }
    }
    return candidates;
  }

  private void start(Call call, RunnerEntry runner, int unreadTokens, long nowMillis) {
    if (!retries.pay(call, nowMillis)) {
      giveUp(call, "no retry is left", BUSY_RETRY_MILLIS);
      return;
    }
    stopWaiting(call);
    call.sends++;
    Call.Running running = new Call.Running(call.sends, runner, nowMillis, unreadTokens);
    call.running.add(running);
    fleet.loads().add(runner.id(), 1, unreadTokens, 0, call.adapter());
    if (call.generation != null) {
      fleet.sent(runner, call.generation);
    }
    changed.run();
    String lastEvent = call.relay.lastEventId();
    RunnerHeaders ours =
        new RunnerHeaders(
            runner.instance(),
            call.endMillis() - nowMillis,
            call.generation == null ? -1 : call.priority(),
            fleet.newestVersion(call.adapter()),
            lastEvent.isEmpty() ? call.headers.lastEventId() : lastEvent,
            call.workspaceName(),
            call.permitted.table().workspaces().areConfigured());
    log.info(
        "request-sent",
        "request",
        call.id(),
        "runner",
        runner.id(),
        "send",
        call.sends,
        "left_ms",
        call.endMillis() - nowMillis,
        "unread",
        unreadTokens,
        "adapter",
        call.adapter(),
        "after_ms",
        nowMillis - call.arrivedMillis);
    if (call.route.repetition().isStream()) {
      call.relay.expect(running.number);
    }
    running.attempt =
        upstreams.start(
            runner,
            call.exchange.method(),
            call.exchange.pathAndQuery(),
            call.id(),
            HeaderCodec.toRunner(call.exchange.headers(), ours),
            call.exchange.body(),
            call.route.repetition().isStream(),
            new Follower(call, running));
  }

  /** Passes pieces on at once and everything else to the decision thread. */
  private final class Follower implements AttemptListener {
    private final Call call;
    private final Call.Running running;

    Follower(Call call, Call.Running running) {
      this.call = call;
      this.running = running;
    }

    @Override
    public void streamStarted(int status, HttpFields headers) {
      call.relay.head(running.number, status, headers);
    }

    @Override
    public void streamPiece(ByteBuffer piece) {
      if (call.relay.piece(running.number, piece, clock.getAsLong())) {
        decisions.accept(() -> firstEvent(call, running));
      }
    }

    @Override
    public void ended(Outcome outcome) {
      decisions.accept(() -> RequestCoordinator.this.ended(call, running, outcome));
    }
  }

  private void firstEvent(Call call, Call.Running running) {
    if (!running.firstEventSeen && call.running.contains(running)) {
      running.firstEventSeen = true;
      fleet.loads().add(running.runner.id(), 0, -running.unreadTokens, 0, "");
      running.unreadTokens = 0;
      firstEventMillis.update(clock.getAsLong() - call.arrivedMillis);
      log.debug(
          "first-event",
          "request",
          call.id(),
          "runner",
          running.runner.id(),
          "took_ms",
          clock.getAsLong() - running.startedMillis);
      changed.run();
    }
  }

  private void ended(Call call, Call.Running running, Outcome outcome) {
    if (!call.running.remove(running)) {
      return;
    }
    release(call, running);
    if (call.done) {
      return;
    }
    call.mayHaveRun |= !(outcome instanceof Outcome.Refused || outcome instanceof Outcome.NotSent);
    long now = clock.getAsLong();
    if (outcome instanceof Outcome.StreamEnded) {
      fleet.health(running.runner).succeeded(now - running.startedMillis, now);
      call.relay.end();
      served(call, now);
      done(call, HttpStatus.OK_200, "", now);
    } else if (outcome instanceof Outcome.Answered answered) {
      answered(call, running, answered, now);
    } else if (outcome instanceof Outcome.Refused refused) {
      refused(call, running, refused, now);
    } else if (outcome instanceof Outcome.NotSent notSent) {
      fleet.health(running.runner).unreachable(now);
      if (notSent.refused()) {
        quarantine.nobodyListens(running.runner, now);
      }
      failed(call, running, Ending.NOT_SENT, notSent.why(), null, now);
    } else if (outcome instanceof Outcome.Lost lost) {
      call.runs++;
      fleet.health(running.runner).failed(now);
      logLost(call, running, now);
      if (lost.connectionBroke()) {
        quarantine.broken(call, running, now);
      }
      failed(call, running, Ending.LOST, lost.why(), null, now);
    }
  }

  /**
   * Tells by which number a request is known again whose answer was lost: a request that ends the
   * runners that run it comes back under new ids, at other hosts.
   */
  private void logLost(Call call, Call.Running running, long now) {
    log.info(
        "answer-lost",
        "request",
        call.id(),
        "fingerprint",
        RequestFingerprint.text(call.fingerprint().value()),
        "caller",
        call.exchange.callerIp(),
        "runner",
        running.runner.id(),
        "ran_ms",
        now - running.startedMillis);
  }

  private void answered(Call call, Call.Running running, Outcome.Answered answered, long now) {
    call.runs++;
    if (answered.status() < HttpStatus.INTERNAL_SERVER_ERROR_500) {
      fleet.health(running.runner).succeeded(now - running.startedMillis, now);
      cancelAll(call, "answered");
      if (HttpStatus.isSuccess(answered.status())) {
        served(call, now);
      }
      pass(call, answered, now);
      return;
    }
    fleet.health(running.runner).failed(now);
    failed(call, running, Ending.FAILED, "status " + answered.status(), answered, now);
  }

  private void refused(Call call, Call.Running running, Outcome.Refused refused, long now) {
    boolean mayComeLater = !call.adapter().isEmpty() && call.missedAt.add(running.runner.id());
    if (mayComeLater) {
      // The adapter was to be there: it comes a little later, or was dropped.
      fleet.refused(running.runner, call.adapter(), now);
    } else {
      // Refused twice, what the runner's holder tells of it is wrong: another runner is tried.
      call.tried.add(running.runner.id());
      fleet.health(running.runner).failed(now);
    }
    failed(call, running, Ending.REFUSED, "refused " + refused.status(), null, now);
  }

  private void failed(
      Call call,
      Call.Running running,
      Ending ending,
      String why,
      Outcome.@Nullable Answered answer,
      long now) {
    metrics.counter("attempts.ended." + ending.name().toLowerCase(Locale.ROOT)).inc();
    log.info(
        "attempt-failed",
        "request",
        call.id(),
        "runner",
        running.runner.id(),
        "ending",
        ending,
        "why",
        why,
        "sends",
        call.sends,
        "runs",
        call.runs,
        "after_ms",
        now - call.arrivedMillis);
    if (ending != Ending.REFUSED) {
      call.tried.add(running.runner.id());
    }
    if (!call.running.isEmpty()) {
      return;
    }
    boolean again =
        RetryRule.mayOfferAgain(
            ending,
            call.route.repetition(),
            call.sends,
            call.runs,
            call.route.maxAttempts(),
            call.endMillis() - now);
    if (RetryRule.drawsOnBudget(ending)) {
      call.retries.reachedRunner();
    }
    if (again && retries.maySendAgain(call, now)) {
      place(call, now);
    } else if (answer != null) {
      pass(call, answer, now);
    } else {
      giveUp(call, why, BUSY_RETRY_MILLIS);
    }
  }

  /** Gives the caller a runner's whole answer. */
  private void pass(Call call, Outcome.Answered answered, long now) {
    if (OwnAnswers.promisesNotRun(answered.status())) {
      // The runner does not say that it has not run; the status alone would.
      answers.finish(
          call.exchange, call.headers, HttpStatus.BAD_GATEWAY_502, "the runner failed", -1);
    } else {
      call.exchange.answer(answered.status(), answered.headers(), answered.body());
    }
    done(call, answered.status(), "", now);
  }

  /** Ends a request that cannot be served, with a status that tells the truth. */
  private void giveUp(Call call, String why, long retryMillis) {
    long now = clock.getAsLong();
    cancelAll(call, "given up");
    Optional<Hold> hold = quarantine.hold(call, now);
    boolean started = call.exchange.isStarted();
    if (started) {
      call.exchange.breakOff(why);
    } else if (call.runs > 0) {
      // It may come back at once, unless it would only be held back.
      long retry = hold.map(h -> h.untilMillis() - now).orElse(-1L);
      answers.finish(call.exchange, call.headers, HttpStatus.BAD_GATEWAY_502, why, retry);
    } else {
      long retry = hold.map(h -> h.untilMillis() - now).orElse(retryMillis);
      answers.refuse(call.exchange, call.headers, why, Math.max(BUSY_RETRY_MILLIS, retry));
    }
    done(call, started ? 0 : call.runs > 0 ? 502 : 503, why, now);
  }

  private void expired(Call call, long nowMillis) {
    boolean handedOn =
        call.running.stream().anyMatch(r -> r.attempt != null && r.attempt.isHandedOn());
    call.running.forEach(running -> quarantine.unanswered(call, running, nowMillis));
    cancelAll(call, "deadline");
    if (call.exchange.isStarted()) {
      call.exchange.breakOff("deadline");
    } else if (handedOn || call.runs > 0) {
      answers.finish(call.exchange, call.headers, HttpStatus.GATEWAY_TIMEOUT_504, "deadline", -1);
    } else {
      answers.refuse(call.exchange, call.headers, "deadline", 0);
    }
    done(call, HttpStatus.GATEWAY_TIMEOUT_504, "deadline", nowMillis);
  }

  private void watchRunning(Call call, long nowMillis) {
    Call.Running newest = call.running.get(call.running.size() - 1);
    long silent = nowMillis - Math.max(newest.startedMillis, call.relay.lastPieceMillis());
    Repetition repetition = call.route.repetition();
    if (repetition == Repetition.IDEMPOTENT) {
      long patience = (long) (call.route.targetLatencyMillis() * HEDGE_PART);
      if (call.running.size() == 1
          && silent >= patience
          && mayRunBeside(call)
          && !quarantine.isSuspect(call, nowMillis)) {
        hedge(call, nowMillis);
      }
    } else if (repetition == Repetition.RESUMABLE_STREAM
        && silent >= STREAM_SILENCE_MILLIS + call.route.pauseMillis()
        && call.runs + 1 < call.route.maxAttempts()) {
      call.retries.reachedRunner();
      if (retries.mayMove(call, nowMillis)) {
        moveSilent(call, newest, nowMillis);
      }
    }
  }

  private boolean mayRunBeside(Call call) {
    return call.runs + call.running.size() < call.route.maxAttempts()
        && call.sends < RetryRule.MAX_SENDS;
  }

  private void hedge(Call call, long nowMillis) {
    Optional<Candidate> second =
        services.choose(candidates(call, null, nowMillis), random.nextDouble());
    if (second.isPresent() && retries.payHedge(call, nowMillis)) {
      log.info("request-hedged", "request", call.id());
      start(call, second.get().runner(), 0, nowMillis);
    }
  }

  private void moveSilent(Call call, Call.Running silent, long nowMillis) {
    log.info("stream-silent", "request", call.id(), "runner", silent.runner.id());
    fleet.health(silent.runner).failed(nowMillis);
    call.tried.add(silent.runner.id());
    quarantine.unanswered(call, silent, nowMillis);
    cancelAll(call, "silent");
    call.runs++;
    place(call, nowMillis);
  }

  private void cancelAll(Call call, String why) {
    for (Call.Running running : List.copyOf(call.running)) {
      call.running.remove(running);
      release(call, running);
      if (running.attempt != null) {
        call.mayHaveRun |= running.attempt.isHandedOn();
        running.attempt.cancel(why);
      }
    }
  }

  private void release(Call call, Call.Running running) {
    fleet.loads().add(running.runner.id(), -1, -running.unreadTokens, 0, call.adapter());
    running.unreadTokens = 0;
    changed.run();
  }

  private void done(Call call, int status, String why, long now) {
    metrics.counter("requests.ended." + status).inc();
    if (status == HttpStatus.OK_200) {
      wholeMillis.update(now - call.arrivedMillis);
    }
    log.info(
        "request-done",
        "request",
        call.id(),
        "status",
        status,
        "why",
        why,
        "took_ms",
        now - call.arrivedMillis);
    finished(call);
  }

  private void finished(Call call) {
    call.done = true;
    if (!call.mayHaveRun) {
      admission.giveBack(call.permitted, call.headers, call.arrivedMillis);
    }
    stopWaiting(call);
    calls.remove(call);
    changed.run();
  }
}
