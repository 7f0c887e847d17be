package org.sequoiahub.node.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.dispatch.PlacementSettings;
import org.sequoiahub.core.dispatch.RunnerHealth;
import org.sequoiahub.core.dispatch.SilenceTimer;
import org.sequoiahub.core.retry.RetryAccount;
import org.sequoiahub.core.retry.RetryBudgetSettings;
import org.sequoiahub.core.retry.SharedRetryBudget;

/**
 * Simulates, in virtual time, hosts that relay resumable streams of runners that pause, fall silent
 * for good, are replaced or lose their connections.
 *
 * <p>What a runner does is planned before, so that it is known of each attempt whether it would
 * have ended in time.
 */
final class PauseSimulation {

  /** What a host does with a stream whose runner is silent. */
  enum Policy {
    /** The first attempt goes on. */
    NEVER,

    /** The stream is resumed once the runner's entry has lapsed. */
    PROOF,

    /** A second attempt runs beside the first until one of them makes the next event. */
    RACE,

    /** The first attempt is cancelled, and the stream is closed if no runner is ready. */
    CANCEL_FIRST
  }

  /** What happens to the runners and the hosts. */
  enum Load {
    PAUSE_OF_ONE,
    PAUSE_OF_A_THIRD,
    PAUSE_OF_ALL,

    /** All runners pause for 1 to 1.5 s at the same time. */
    SHORT_PAUSE_OF_ALL,

    /** A third of the runners fall silent; their entries lapse. */
    SILENT_FOR_GOOD,

    /** The runners are replaced one after the other while a third of them pause. */
    RELEASE,

    /** The runners of a failure domain terminate while a third of the others pause. */
    DOMAIN_LOST,

    /** The runners of a failure domain terminate after all runners have paused. */
    DOMAIN_LOST_AFTER_PAUSE,

    /** A third of the hosts do not run for some time; the runners are sound. */
    HOSTS_LAG
  }

  /** A size of the deployment and what happens to it. */
  record Scenario(int hosts, int runners, Load load) {}

  /** Counts of a simulation. */
  static final class Results {
    int streams;
    int completed;

    /**
     * Closed by the host, at once or after another runner had taken over, although the first runner
     * would have ended in time.
     */
    int endedEarly;

    /** Those of them that another runner had taken over. */
    int endedEarlyLater;

    /**
     * Taken over, and then given up by the caller or at the deadline, although the first runner
     * would have ended in time.
     */
    int spoiled;

    /** Closed by the host after their connection had broken. */
    int closed;

    /** Completed elsewhere although the first runner would not have ended in time. */
    int takenOver;

    /** With a gap between two events beyond what their route accepts. */
    int late;

    /** Second runs of streams that the first runner would have ended in time. */
    int inVain;

    int retries;

    /** Never sent to a runner. */
    int notSent;

    /** Retries beyond the budget of all hosts in any window. */
    double retriesOverBudget;

    /** Marks of a runner that outlive its pause by more than the interval of two events. */
    int lastingMarks;

    long deadWaitMillis;
    int deadWaits;

    long meanDeadWaitMillis() {
      return deadWaits == 0 ? 0 : deadWaitMillis / deadWaits;
    }

    @Override
    public String toString() {
      return String.format(
          "%d streams, %d completed, %d ended early (%d later), %d spoiled, %d closed,"
              + " %d taken over, %d late,"
              + " %d runs in vain, %d retries, %d not sent, mean wait %d ms",
          streams,
          completed,
          endedEarly,
          endedEarlyLater,
          spoiled,
          closed,
          takenOver,
          late,
          inVain,
          retries,
          notSent,
          meanDeadWaitMillis());
    }
  }

  /** The budget of the users' deployments. */
  static final RetryBudgetSettings BUDGET = new RetryBudgetSettings(0.2, 50, 10_000);

  static final int EVENT_MILLIS = 40;
  static final int READ_MILLIS = 150;

  private static final long DURATION_MILLIS = 24_000;
  private static final long ARRIVALS_MILLIS = 16_000;
  private static final long TROUBLE_MILLIS = 4_000;
  private static final int TICK_MILLIS = 25;
  private static final int DOMAINS = 4;
  private static final int SLOTS = 12;
  private static final int MAX_RUNS = 2;
  private static final int ADAPTERS = 12;

  /** One in this number of runners holds an adapter. */
  private static final int ADAPTER_SPREAD = 3;

  /** Streams in progress per runner, on average. */
  private static final double STREAMS_PER_RUNNER = 2.5;

  private static final int MIN_EVENTS = 15;
  private static final int MAX_EVENTS = 55;

  private static final long ENTRY_LAPSE_MILLIS = 3_600;
  private static final long NEWS_MILLIS = 100;
  private static final long RESTART_MILLIS = 3_000;
  private static final long MIN_PATIENCE_MILLIS = 2_400;
  private static final long NEVER = Long.MAX_VALUE;
  private static final String SERVICE = "s";

  private record Pause(long fromMillis, long toMillis) {}

  /** A process of a runner. */
  private static final class Runner {
    final int number;
    final long startedMillis;
    final List<Pause> pauses = new ArrayList<>();
    long leavingMillis = NEVER;

    /** From when on it makes nothing any more. */
    long goneMillis = NEVER;

    /** Whether its connections break when it goes. */
    boolean breaks;

    int running;

    Runner(int number, long startedMillis) {
      this.number = number;
      this.startedMillis = startedMillis;
    }

    int domain() {
      return number % DOMAINS;
    }

    boolean isUsable(long now) {
      long unknown = breaks ? NEWS_MILLIS : ENTRY_LAPSE_MILLIS;
      return now >= startedMillis
          && now < plus(leavingMillis, NEWS_MILLIS)
          && now < plus(goneMillis, unknown);
    }

    boolean isReadyFor(Request request, long now) {
      return isUsable(now)
          && running < SLOTS
          && number % ADAPTER_SPREAD == request.adapter % ADAPTER_SPREAD
          && !request.excluded.contains(this);
    }

    /** Returns when work that begins at a time is done, pauses included. */
    long after(long from, long workMillis) {
      long at = from;
      long left = workMillis;
      for (Pause pause : pauses) {
        if (pause.toMillis <= at) {
          continue;
        }
        if (pause.fromMillis >= at + left) {
          break;
        }
        left -= Math.max(0, pause.fromMillis - at);
        at = pause.toMillis;
      }
      return at + left >= goneMillis ? NEVER : at + left;
    }

    private static long plus(long millis, long added) {
      return millis == NEVER ? NEVER : millis + added;
    }
  }

  private static final class Host {
    final SharedRetryBudget budget = new SharedRetryBudget(BUDGET, 0, true);
    final Map<Runner, RunnerHealth> health = new HashMap<>();
    final List<Pause> lags = new ArrayList<>();

    RunnerHealth health(Runner runner) {
      return health.computeIfAbsent(runner, r -> new RunnerHealth());
    }

    boolean lags(long now) {
      for (Pause lag : lags) {
        if (now >= lag.fromMillis && now < lag.toMillis) {
          return true;
        }
      }
      return false;
    }
  }

  /** An attempt at a stream. */
  private static final class Run {
    final Runner runner;
    final long startedMillis;
    int nextEvent;
    long nextMillis;

    Run(Runner runner, int firstEvent, long now) {
      this.runner = runner;
      this.startedMillis = now;
      this.nextEvent = firstEvent;
      this.nextMillis = runner.after(now, READ_MILLIS);
    }

    void advance() {
      nextEvent++;
      nextMillis = runner.after(nextMillis, EVENT_MILLIS);
    }

    boolean isBroken(long now) {
      return runner.breaks && now >= runner.goneMillis;
    }
  }

  /** A caller's stream. */
  private final class Request {
    final Host host;
    final int adapter;
    final int events;
    final long arrivedMillis;
    final long gapMillis;
    final long deadlineMillis;
    final RetryAccount account;
    final SilenceTimer silence = new SilenceTimer();
    final Set<Runner> excluded = new HashSet<>();
    @Nullable Run first;
    @Nullable Run second;
    int received;
    int runs;
    long progressMillis;
    long nextSearchMillis;
    boolean silenceReported;
    boolean late;
    boolean firstWouldEnd;
    boolean resumed;
    long deadSinceMillis;
    boolean done;

    Request(Host host, long now) {
      this.host = host;
      this.adapter = random.nextInt(ADAPTERS);
      this.events = MIN_EVENTS + random.nextInt(MAX_EVENTS - MIN_EVENTS);
      this.arrivedMillis = now;
      this.progressMillis = now;
      boolean patient = random.nextBoolean();
      this.gapMillis = patient ? 600 : 300;
      this.deadlineMillis = now + (patient ? 4_000 : 8_000);
      this.account = new RetryAccount(host.budget, SERVICE);
    }

    long patienceMillis() {
      return Math.max(MIN_PATIENCE_MILLIS, 8 * gapMillis);
    }

    /** Returns whether an attempt would bring all further events in time. */
    boolean wouldEndInTime(Run run) {
      long last = progressMillis;
      long at = run.nextMillis;
      for (int event = run.nextEvent; event <= events; event++) {
        if (at >= deadlineMillis || at - last >= patienceMillis()) {
          return false;
        }
        last = at;
        at = run.runner.after(at, EVENT_MILLIS);
      }
      return true;
    }

    long silenceLimitMillis() {
      return SilentStreams.SILENCE_MILLIS + gapMillis + (received == 0 ? READ_MILLIS : 0);
    }
  }

  private final Random random;
  private final Scenario scenario;
  private final Policy policy;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private final List<Request> requests = new ArrayList<>();
  private final List<Long> requestMillis = new ArrayList<>();
  private final List<Long> retryMillis = new ArrayList<>();
  private final Results results = new Results();
  private long now;
  private double dueArrivals;

  PauseSimulation(long seed, Scenario scenario, Policy policy) {
    this.random = new Random(seed);
    this.scenario = scenario;
    this.policy = policy;
    for (int host = 0; host < scenario.hosts; host++) {
      hosts.add(new Host());
    }
    for (int runner = 0; runner < scenario.runners; runner++) {
      runners.add(new Runner(runner, 0));
    }
    plan();
  }

  private void plan() {
    switch (scenario.load) {
      case PAUSE_OF_ONE -> pause(runners.subList(0, 1), 500, 3_000);
      case PAUSE_OF_A_THIRD -> pause(third(runners), 500, 3_000);
      case PAUSE_OF_ALL -> pause(runners, 500, 3_000);
      case SHORT_PAUSE_OF_ALL -> pause(runners, 1_000, 1_500);
      case SILENT_FOR_GOOD -> third(runners).forEach(runner -> end(runner, TROUBLE_MILLIS, false));
      case RELEASE -> {
        pause(third(runners), 500, 3_000);
        List<Runner> replaced = List.copyOf(runners);
        long intervalMillis = Math.max(1, 8_000 / replaced.size());
        for (Runner runner : replaced) {
          long leavingMillis = TROUBLE_MILLIS + runner.number * intervalMillis;
          runner.leavingMillis = leavingMillis;
          runners.add(new Runner(runner.number, leavingMillis));
        }
      }
      case DOMAIN_LOST -> {
        pause(third(runners), 500, 3_000);
        loseDomain(TROUBLE_MILLIS + 500);
      }
      case DOMAIN_LOST_AFTER_PAUSE -> {
        pause(runners, 500, 3_000);
        loseDomain(TROUBLE_MILLIS + 3_500);
      }
      default ->
          third(hosts)
              .forEach(
                  host -> {
                    for (int lag = 0; lag < 3; lag++) {
                      host.lags.add(pauseFrom(TROUBLE_MILLIS + 4_000L * lag, 500, 3_000));
                    }
                  });
    }
  }

  /** Lets runners pause three times, at about the same times. */
  private void pause(List<Runner> paused, int minMillis, int maxMillis) {
    for (Runner runner : paused) {
      for (int pause = 0; pause < 3; pause++) {
        runner.pauses.add(pauseFrom(TROUBLE_MILLIS + 4_000L * pause, minMillis, maxMillis));
      }
    }
  }

  private Pause pauseFrom(long millis, int minMillis, int maxMillis) {
    long from = millis + random.nextInt(200);
    return new Pause(from, from + minMillis + random.nextInt(maxMillis - minMillis + 1));
  }

  /** Returns a third of the elements, spread over services and domains. */
  private static <T> List<T> third(List<T> all) {
    List<T> chosen = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      if (i / ADAPTER_SPREAD % ADAPTER_SPREAD == 0) {
        chosen.add(all.get(i));
      }
    }
    return chosen;
  }

  private void loseDomain(long atMillis) {
    for (Runner runner : List.copyOf(runners)) {
      if (runner.domain() == 1) {
        end(runner, atMillis + random.nextInt(20), true);
      }
    }
  }

  private void end(Runner runner, long atMillis, boolean breaks) {
    runner.goneMillis = atMillis;
    runner.breaks = breaks;
    long unknown = breaks ? 0 : ENTRY_LAPSE_MILLIS;
    runners.add(new Runner(runner.number, atMillis + unknown + RESTART_MILLIS));
  }

  Results run() {
    for (now = 0; now < DURATION_MILLIS; now += TICK_MILLIS) {
      arrive();
      for (Request request : requests) {
        if (!request.done && !request.host.lags(now)) {
          decide(request);
          if (!request.done) {
            receive(request);
          }
        }
      }
      requests.removeIf(request -> request.done);
      countLastingMarks();
    }
    results.retries = retryMillis.size();
    results.retriesOverBudget = retriesOverBudget();
    return results;
  }

  private void arrive() {
    if (now >= ARRIVALS_MILLIS) {
      return;
    }
    double meanMillis = READ_MILLIS + EVENT_MILLIS * (MIN_EVENTS + MAX_EVENTS) / 2.0;
    dueArrivals += STREAMS_PER_RUNNER * scenario.runners / meanMillis * TICK_MILLIS;
    for (; dueArrivals >= 1; dueArrivals--) {
      Host host = hosts.get(random.nextInt(hosts.size()));
      host.budget.recordRequest(SERVICE, now);
      requestMillis.add(now);
      results.streams++;
      requests.add(new Request(host, now));
    }
  }

  private void decide(Request request) {
    if (now >= request.deadlineMillis || now - request.progressMillis >= request.patienceMillis()) {
      results.notSent += request.runs == 0 && request.first == null ? 1 : 0;
      finish(request);
      return;
    }
    failBroken(request);
    Run first = request.first;
    if (request.done || first == null) {
      if (!request.done) {
        place(request);
      }
      return;
    }
    noteDead(request, first);
    switch (policy) {
      case PROOF -> {
        if (now >= Runner.plus(first.runner.goneMillis, ENTRY_LAPSE_MILLIS + NEWS_MILLIS)) {
          giveUp(request, first);
          resumeOrClose(request, false);
        }
      }
      case CANCEL_FIRST -> {
        long progress = Math.max(first.startedMillis, request.progressMillis);
        if (now - progress >= request.silenceLimitMillis() && request.runs + 1 < MAX_RUNS) {
          request.account.recordRunnerReached();
          if (request.account.maySend(scenario.hosts, now)) {
            cancelFirst(request, first);
          }
        }
      }
      case RACE -> race(request, first);
      default -> {
        // The first attempt goes on.
      }
    }
  }

  private void noteDead(Request request, Run run) {
    boolean silent = !run.runner.breaks && now >= run.runner.goneMillis;
    if (silent && request.deadSinceMillis == 0 && request.second == null) {
      request.deadSinceMillis = Math.max(run.runner.goneMillis, run.startedMillis);
    }
  }

  private void failBroken(Request request) {
    Run second = request.second;
    if (second != null && second.isBroken(now)) {
      request.host.health(second.runner).failed(now);
      giveUp(request, second);
    }
    Run first = request.first;
    if (first != null && first.isBroken(now)) {
      request.host.health(first.runner).failed(now);
      giveUp(request, first);
      if (request.first == null) {
        resumeOrClose(request, false);
      }
    }
  }

  /** Ends an attempt; the other one goes on, if there is one. */
  private void giveUp(Request request, Run run) {
    run.runner.running--;
    request.runs++;
    request.excluded.add(run.runner);
    request.account.recordRunnerReached();
    if (run.equals(request.first)) {
      request.first = request.second;
    }
    request.second = null;
  }

  private void resumeOrClose(Request request, boolean firstWouldEnd) {
    if (request.runs < MAX_RUNS && request.account.maySend(scenario.hosts, now)) {
      place(request);
    } else {
      close(request, firstWouldEnd);
    }
  }

  private void cancelFirst(Request request, Run first) {
    boolean wouldEnd = request.wouldEndInTime(first);
    request.host.health(first.runner).failed(now);
    giveUp(request, first);
    Runner next = ready(request);
    long firstEventDeadlineMillis = request.arrivedMillis + request.patienceMillis();
    if (next == null
        || now + READ_MILLIS > firstEventDeadlineMillis
        || !request.account.tryAcquireSend(scenario.hosts, now)) {
      close(request, wouldEnd);
      return;
    }
    retryMillis.add(now);
    request.resumed = true;
    request.firstWouldEnd = wouldEnd;
    results.inVain += wouldEnd ? 1 : 0;
    request.first = start(request, next);
  }

  private void close(Request request, boolean firstWouldEnd) {
    boolean later = request.resumed && request.firstWouldEnd;
    if (firstWouldEnd || later) {
      results.endedEarly++;
      results.endedEarlyLater += later ? 1 : 0;
    } else {
      results.closed++;
    }
    request.firstWouldEnd = false;
    finish(request);
  }

  private void place(Request request) {
    Runner runner = ready(request);
    if (runner == null) {
      return;
    }
    boolean isRetry = request.runs > 0;
    if (!request.account.tryAcquireSend(scenario.hosts, now)) {
      close(request, false);
      return;
    }
    if (isRetry) {
      retryMillis.add(now);
      request.resumed = true;
    }
    request.first = start(request, runner);
  }

  private Run start(Request request, Runner runner) {
    runner.running++;
    return new Run(runner, request.received + 1, now);
  }

  private @Nullable Runner ready(Request request) {
    Runner best = null;
    double bestCost = Double.MAX_VALUE;
    for (Runner runner : runners) {
      if (runner.isReadyFor(request, now)) {
        double cost = cost(request.host, runner);
        if (cost < bestCost) {
          best = runner;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  private double cost(Host host, Runner runner) {
    PlacementSettings settings = PlacementSettings.DEFAULT;
    RunnerHealth health = host.health.get(runner);
    double failureRate = health == null ? 0 : health.failureRate(now);
    return runner.running * settings.perRequestMillis()
        + failureRate * settings.failurePenaltyMillis();
  }

  private void race(Request request, Run first) {
    long progress = Math.max(first.startedMillis, request.progressMillis);
    long silent = request.silence.check(progress, now);
    if (silent < request.silenceLimitMillis() || request.second != null) {
      request.silenceReported &= silent >= request.silenceLimitMillis();
      return;
    }
    if (!request.silenceReported) {
      request.silenceReported = true;
      request.host.health(first.runner).silent(now);
    }
    if (request.runs + 1 >= MAX_RUNS || now < request.nextSearchMillis) {
      return;
    }
    request.nextSearchMillis = now + SilentStreams.SEARCH_INTERVAL_MILLIS;
    request.account.recordRunnerReached();
    request.excluded.add(first.runner);
    Runner second = ready(request);
    if (second != null && request.account.tryAcquireSend(scenario.hosts, now)) {
      retryMillis.add(now);
      request.resumed = true;
      request.firstWouldEnd = request.wouldEndInTime(first);
      results.inVain += request.firstWouldEnd ? 1 : 0;
      request.second = start(request, second);
    }
  }

  /** Relays the events that are due; the first attempt with the next event goes on alone. */
  private void receive(Request request) {
    while (!request.done) {
      Run first = request.first;
      Run second = request.second;
      boolean secondIsNext =
          first != null && second != null && second.nextMillis < first.nextMillis;
      Run next = secondIsNext ? second : first;
      if (next == null || next.nextMillis > now) {
        return;
      }
      if (first != null && second != null) {
        giveUp(request, secondIsNext ? first : second);
      }
      request.host.health(next.runner).responded(now);
      request.late |= request.received > 0 && now - request.progressMillis > request.gapMillis;
      countDeadWait(request);
      request.progressMillis = now;
      request.received++;
      next.advance();
      if (request.received == request.events) {
        results.completed++;
        results.takenOver += request.resumed && !request.firstWouldEnd ? 1 : 0;
        request.host.health(next.runner).succeeded(now - next.startedMillis, now);
        finish(request);
      }
    }
  }

  private void countDeadWait(Request request) {
    if (request.deadSinceMillis > 0) {
      results.deadWaits++;
      results.deadWaitMillis += now - request.deadSinceMillis;
      request.deadSinceMillis = 0;
    }
  }

  private void finish(Request request) {
    countDeadWait(request);
    boolean completed = request.received == request.events;
    results.spoiled += !completed && request.resumed && request.firstWouldEnd ? 1 : 0;
    results.late += request.late ? 1 : 0;
    Stream.of(request.first, request.second)
        .filter(Objects::nonNull)
        .forEach(run -> run.runner.running--);
    request.first = null;
    request.second = null;
    request.done = true;
  }

  private void countLastingMarks() {
    if (now % 1_000 != 0) {
      return;
    }
    for (Host host : hosts) {
      host.health.forEach(
          (runner, health) -> {
            if (health.failureRate(now) > 0.01
                && runner.goneMillis == NEVER
                && runner.pauses.stream().allMatch(this::isOver)) {
              results.lastingMarks++;
            }
          });
    }
  }

  private boolean isOver(Pause pause) {
    return now < pause.fromMillis || now > pause.toMillis + READ_MILLIS + EVENT_MILLIS;
  }

  /** Returns by how much the retries of any window exceed the budget of all hosts. */
  private double retriesOverBudget() {
    double over = 0;
    for (long end : retryMillis) {
      long from = end - BUDGET.windowMillis();
      long retries = countBetween(retryMillis, from, end);
      long counted = countBetween(requestMillis, from, end);
      over = Math.max(over, retries - BUDGET.ratio() * counted - BUDGET.allowance());
    }
    return over;
  }

  private static long countBetween(List<Long> times, long from, long to) {
    return times.stream().filter(at -> at > from && at <= to).count();
  }
}
