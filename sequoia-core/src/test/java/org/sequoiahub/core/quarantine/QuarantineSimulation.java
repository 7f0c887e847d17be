package org.sequoiahub.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.jspecify.annotations.Nullable;

/**
 * Simulates hosts, runners and callers in virtual time, with a quarantine on each host and
 * datagrams between them that are delayed and lost.
 *
 * <p>Callers send unique streams, repeat a few identical requests, and retry requests that failed.
 * Some requests terminate each runner that processes them.
 */
final class QuarantineSimulation {

  /**
   * Parameters of a simulation.
   *
   * @param quarantineEnabled whether the hosts quarantine requests
   * @param historyLost whether all hosts have just restarted
   * @param deadlyRequests the number of requests that terminate runners
   * @param sendsPerCall the number of runners that one call may be sent to
   * @param domainLostAtMillis when the runners of one failure domain are lost; negative for never
   */
  record Scenario(
      boolean quarantineEnabled,
      boolean historyLost,
      int deadlyRequests,
      int sendsPerCall,
      long domainLostAtMillis) {}

  /** Counts of a simulation. */
  static final class Results {
    long innocents;
    long innocentsQuarantined;
    long pollsQuarantined;
    long innocentAttemptsLost;
    long deadlyRuns;
    long deadlyRunsPastDeadline;

    void add(Results other) {
      innocents += other.innocents;
      innocentsQuarantined += other.innocentsQuarantined;
      pollsQuarantined += other.pollsQuarantined;
      innocentAttemptsLost += other.innocentAttemptsLost;
      deadlyRuns += other.deadlyRuns;
      deadlyRunsPastDeadline += other.deadlyRunsPastDeadline;
    }
  }

  private static final int HOSTS = 7;
  private static final int RUNNERS = 8;
  private static final int DOMAINS = 4;
  private static final long DURATION_MILLIS = 60_000;

  /**
   * The required limit: the time after the third termination from which a request may no longer be
   * sent to a runner (ms).
   */
  private static final long QUARANTINE_DEADLINE_MILLIS = 3_000;

  private static final double STREAMS_PER_MILLI = 0.03;
  private static final double POLLS_PER_MILLI = 0.02;
  private static final long STREAM_MILLIS = 2_000;
  private static final long POLL_MILLIS = 80;

  /**
   * The number of requests that are repeated all the time; their fingerprints are below all unique
   * ones.
   */
  private static final int POLLS = 5;

  private static final long FIRST_UNIQUE = 1_000;
  private static final long FIRST_UNIQUE_FINGERPRINT = FIRST_UNIQUE << Integer.SIZE;

  /** The time until hosts read that the store has dropped a silent runner's entry (ms). */
  private static final long ENTRY_EXPIRY_MILLIS = 4_600;

  private final Scenario scenario;
  private final Random random;
  private final List<RequestQuarantine> hosts = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Map<Long, Long> terminatedMillis = new HashMap<>();
  private final Map<Long, List<Long>> terminationsByRequest = new HashMap<>();
  private final Results results = new Results();
  private long now;
  private long number;
  private long nextRequest = FIRST_UNIQUE;

  private record Event(long atMillis, long number, Runnable action) {}

  /** A process of a runner. */
  private final class Runner {
    final long hash = random.nextLong();
    final int domain;
    final List<Attempt> running = new ArrayList<>();
    boolean up = true;

    Runner(int domain) {
      this.domain = domain;
    }
  }

  private record Attempt(Arrival arrival, int host, long startedMillis) {}

  /** A caller's request, which the caller repeats if it fails. */
  private final class Arrival {
    final long request;
    final boolean deadly;
    final long runMillis;

    /** When the response starts; a plain response has no separate start. */
    final long firstEventMillis;

    int attemptsLeft;
    int sends;

    Arrival(long request, boolean deadly, long runMillis, int attemptsLeft) {
      this.request = request;
      this.deadly = deadly;
      this.runMillis = runMillis;
      boolean stream = request >= FIRST_UNIQUE_FINGERPRINT;
      this.firstEventMillis = stream ? 100 + random.nextInt(400) : Long.MAX_VALUE;
      this.attemptsLeft = attemptsLeft;
    }
  }

  QuarantineSimulation(long seed, Scenario scenario) {
    this.random = new Random(seed);
    this.scenario = scenario;
    for (int host = 0; host < HOSTS; host++) {
      RequestQuarantine quarantine = new RequestQuarantine(QuarantineSettings.DEFAULT);
      quarantine.historyLost(scenario.historyLost);
      hosts.add(quarantine);
    }
    for (int runner = 0; runner < RUNNERS; runner++) {
      runners.add(new Runner(runner % DOMAINS));
    }
  }

  Results run() {
    after(exponential(STREAMS_PER_MILLI), this::stream);
    after(exponential(POLLS_PER_MILLI), this::poll);
    for (int i = 0; i < scenario.deadlyRequests; i++) {
      long request = (-1L - i) << Integer.SIZE;
      after(8_000 + random.nextInt(4_000), () -> sendDeadly(request));
    }
    if (scenario.domainLostAtMillis >= 0) {
      after(scenario.domainLostAtMillis, this::loseDomain);
    }
    after(500, this::maintain);
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atMillis;
      next.action.run();
    }
    return results;
  }

  private void after(long millis, Runnable action) {
    if (now + millis < DURATION_MILLIS) {
      events.add(new Event(now + millis, number++, action));
    }
  }

  private long exponential(double perMilli) {
    return 1 + (long) (-Math.log(1 - random.nextDouble()) / perMilli);
  }

  /** Returns a fingerprint whose halves are both unique. */
  private long nextUnique() {
    long next = nextRequest++;
    return (next << Integer.SIZE) | next;
  }

  private void stream() {
    arrive(new Arrival(nextUnique(), false, 1 + exponential(1.0 / STREAM_MILLIS), 2));
    results.innocents++;
    after(exponential(STREAMS_PER_MILLI), this::stream);
  }

  private void poll() {
    long request = (long) random.nextInt(POLLS) << Integer.SIZE;
    arrive(new Arrival(request, false, POLL_MILLIS / 2 + random.nextInt(80), 2));
    results.innocents++;
    after(exponential(POLLS_PER_MILLI), this::poll);
  }

  private void sendDeadly(long request) {
    arrive(new Arrival(request, true, 50 + random.nextInt(90), 1));
    after(300 + random.nextInt(1_200), () -> sendDeadly(request));
  }

  private void arrive(Arrival arrival) {
    arrival.attemptsLeft--;
    arrival.sends = 0;
    send(arrival, random.nextInt(HOSTS));
  }

  private void send(Arrival arrival, int host) {
    if (scenario.quarantineEnabled
        && hosts.get(host).activeQuarantine(arrival.request, now).isPresent()) {
      if (!arrival.deadly) {
        results.innocentsQuarantined++;
        results.pollsQuarantined += arrival.request < FIRST_UNIQUE_FINGERPRINT ? 1 : 0;
      }
      return;
    }
    Runner chosen = leastLoaded();
    if (chosen == null) {
      retryLater(arrival);
      return;
    }
    arrival.sends++;
    if (arrival.deadly) {
      countDeadlyRun(arrival.request);
    }
    Attempt attempt = new Attempt(arrival, host, now);
    chosen.running.add(attempt);
    after(arrival.runMillis, () -> complete(chosen, attempt));
  }

  private @Nullable Runner leastLoaded() {
    Runner best = null;
    for (Runner runner : runners) {
      if (runner.up && (best == null || runner.running.size() < best.running.size())) {
        best = runner;
      }
    }
    return best;
  }

  private void countDeadlyRun(long request) {
    results.deadlyRuns++;
    List<Long> terminations = terminationsByRequest.getOrDefault(request, List.of());
    if (terminations.size() >= 3 && now > terminations.get(2) + QUARANTINE_DEADLINE_MILLIS) {
      results.deadlyRunsPastDeadline++;
    }
  }

  private void complete(Runner runner, Attempt attempt) {
    if (!runner.up || !runner.running.remove(attempt)) {
      return;
    }
    if (attempt.arrival.deadly) {
      terminationsByRequest
          .computeIfAbsent(attempt.arrival.request, key -> new ArrayList<>())
          .add(now);
      runner.running.add(attempt);
      terminate(runner);
      return;
    }
    long request = attempt.arrival.request;
    hosts.get(attempt.host).recordSuccess(RequestFingerprint.ofValue(request), now);
    if (hosts.get(attempt.host).clear(request, now)) {
      long at = now;
      sendToOthers(attempt.host, other -> other.clear(request, at));
    }
  }

  /** Terminates the runner's process; the hosts see their connections break within 10 ms. */
  private void terminate(Runner runner) {
    runner.up = false;
    terminatedMillis.put(runner.hash, now);
    for (Attempt attempt : runner.running) {
      if (!attempt.arrival.deadly) {
        results.innocentAttemptsLost++;
      }
      after(1 + random.nextInt(10), () -> connectionBroke(runner, attempt));
    }
    int index = runners.indexOf(runner);
    after(2_000 + random.nextInt(3_000), () -> runners.set(index, new Runner(runner.domain)));
  }

  private void connectionBroke(Runner runner, Attempt attempt) {
    Arrival arrival = attempt.arrival;
    boolean responseStarted = now - attempt.startedMillis >= arrival.firstEventMillis;
    RunnerTermination termination =
        new RunnerTermination(
            arrival.request, runner.hash, attempt.startedMillis, now, responseStarted, false);
    if (hosts.get(attempt.host).recordTermination(termination, now)) {
      sendToOthers(attempt.host, other -> other.recordTermination(termination, now));
    }
    if (arrival.sends < scenario.sendsPerCall) {
      send(arrival, attempt.host);
    } else {
      retryLater(arrival);
    }
  }

  private void retryLater(Arrival arrival) {
    if (arrival.attemptsLeft > 0) {
      after(20 + random.nextInt(400), () -> arrive(arrival));
    }
  }

  /** Delivers an update to the other hosts; one datagram in fifty is lost and repeated later. */
  private void sendToOthers(int from, Consumer<RequestQuarantine> update) {
    for (int host = 0; host < HOSTS; host++) {
      RequestQuarantine other = hosts.get(host);
      if (host != from) {
        long delayMillis = random.nextInt(50) == 0 ? 200 : 0;
        after(1 + random.nextInt(25) + delayMillis, () -> update.accept(other));
      }
    }
  }

  /** Terminates all runners of one domain within 50 ms. */
  private void loseDomain() {
    int lost = random.nextInt(DOMAINS);
    for (Runner runner : List.copyOf(runners)) {
      if (runner.domain == lost) {
        after(
            1 + random.nextInt(50),
            () -> {
              if (runner.up) {
                terminate(runner);
              }
            });
      }
    }
  }

  private void maintain() {
    LongPredicate hasExpired =
        runner -> {
          Long at = terminatedMillis.get(runner);
          return at != null && now - at >= ENTRY_EXPIRY_MILLIS;
        };
    for (RequestQuarantine host : hosts) {
      host.confirmTerminations(hasExpired);
      host.removeExpired(now);
    }
    after(500, this::maintain);
  }
}
