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
 * Hosts, runners and callers in virtual time, with the quarantine of each host and datagrams
 * between them that are late and get lost.
 *
 * <p>Callers send streams of their own, ask one and the same thing many times over, and bring
 * requests again that failed. Some requests end each runner that runs them.
 */
final class QuarantineSimulation {

  /**
   * What is played.
   *
   * @param quarantineEnabled whether the hosts hold requests back
   * @param historyLost whether all hosts have just started again
   * @param deadlyRequests requests that end runners
   * @param sendsPerCall runners that one call may be sent to
   * @param domainLostAtMillis when the runners of one failure domain are lost; negative for never
   */
  record Scenario(
      boolean quarantineEnabled,
      boolean historyLost,
      int deadlyRequests,
      int sendsPerCall,
      long domainLostAtMillis) {}

  /** What came of it. */
  static final class Results {
    long innocents;
    long innocentsQuarantined;
    long pollsQuarantined;
    long innocentAttemptsLost;
    long deadlyRuns;
    long deadlyRunsPastBound;

    void add(Results other) {
      innocents += other.innocents;
      innocentsQuarantined += other.innocentsQuarantined;
      pollsQuarantined += other.pollsQuarantined;
      innocentAttemptsLost += other.innocentAttemptsLost;
      deadlyRuns += other.deadlyRuns;
      deadlyRunsPastBound += other.deadlyRunsPastBound;
    }
  }

  private static final int HOSTS = 7;
  private static final int RUNNERS = 8;
  private static final int DOMAINS = 4;
  private static final long LENGTH_MILLIS = 60_000;

  /** The users' bound: so long after the third end a request may be sent on no more (ms). */
  private static final long BOUND_MILLIS = 3_000;

  private static final double STREAMS_PER_MILLI = 0.03;
  private static final double POLLS_PER_MILLI = 0.02;
  private static final long STREAM_MILLIS = 2_000;
  private static final long POLL_MILLIS = 80;

  /** Requests that are asked again and again; their fingerprints are below all unique ones. */
  private static final int POLLS = 5;

  private static final long FIRST_UNIQUE = 1_000;
  private static final long FIRST_UNIQUE_FINGERPRINT = FIRST_UNIQUE << Integer.SIZE;

  /** The store drops a silent runner's entry, and hosts read it (ms). */
  private static final long LAPSE_MILLIS = 4_600;

  private final Scenario load;
  private final Random random;
  private final List<RequestQuarantine> hosts = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Map<Long, Long> endedAt = new HashMap<>();
  private final Map<Long, List<Long>> endsUnder = new HashMap<>();
  private final Results figures = new Results();
  private long now;
  private long number;
  private long nextRequest = FIRST_UNIQUE;

  private record Event(long atMillis, long number, Runnable what) {}

  /** One process of a runner. */
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

  /** A caller's request; a caller brings it again if it fails. */
  private final class Arrival {
    final long request;
    final boolean deadly;
    final long runMillis;

    /** When the answer begins; plain answers come whole. */
    final long firstEventMillis;

    int timesLeft;
    int sends;

    Arrival(long request, boolean deadly, long runMillis, int timesLeft) {
      this.request = request;
      this.deadly = deadly;
      this.runMillis = runMillis;
      boolean stream = request >= FIRST_UNIQUE_FINGERPRINT;
      this.firstEventMillis = stream ? 100 + random.nextInt(400) : Long.MAX_VALUE;
      this.timesLeft = timesLeft;
    }
  }

  QuarantineSimulation(long seed, Scenario load) {
    this.random = new Random(seed);
    this.load = load;
    for (int host = 0; host < HOSTS; host++) {
      RequestQuarantine quarantine = new RequestQuarantine(QuarantineSettings.DEFAULT);
      quarantine.historyLost(load.historyLost);
      hosts.add(quarantine);
    }
    for (int runner = 0; runner < RUNNERS; runner++) {
      runners.add(new Runner(runner % DOMAINS));
    }
  }

  Results run() {
    after(exponential(STREAMS_PER_MILLI), this::stream);
    after(exponential(POLLS_PER_MILLI), this::poll);
    for (int i = 0; i < load.deadlyRequests; i++) {
      long request = (-1L - i) << Integer.SIZE;
      after(8_000 + random.nextInt(4_000), () -> bringDeadly(request));
    }
    if (load.domainLostAtMillis >= 0) {
      after(load.domainLostAtMillis, this::loseDomain);
    }
    after(500, this::upkeep);
    while (!events.isEmpty()) {
      Event next = events.poll();
      now = next.atMillis;
      next.what.run();
    }
    return figures;
  }

  private void after(long millis, Runnable what) {
    if (now + millis < LENGTH_MILLIS) {
      events.add(new Event(now + millis, number++, what));
    }
  }

  private long exponential(double perMilli) {
    return 1 + (long) (-Math.log(1 - random.nextDouble()) / perMilli);
  }

  /** Each with halves of its own. */
  private long nextUnique() {
    long next = nextRequest++;
    return (next << Integer.SIZE) | next;
  }

  private void stream() {
    arrive(new Arrival(nextUnique(), false, 1 + exponential(1.0 / STREAM_MILLIS), 2));
    figures.innocents++;
    after(exponential(STREAMS_PER_MILLI), this::stream);
  }

  private void poll() {
    long request = (long) random.nextInt(POLLS) << Integer.SIZE;
    arrive(new Arrival(request, false, POLL_MILLIS / 2 + random.nextInt(80), 2));
    figures.innocents++;
    after(exponential(POLLS_PER_MILLI), this::poll);
  }

  private void bringDeadly(long request) {
    arrive(new Arrival(request, true, 50 + random.nextInt(90), 1));
    after(300 + random.nextInt(1_200), () -> bringDeadly(request));
  }

  private void arrive(Arrival arrival) {
    arrival.timesLeft--;
    arrival.sends = 0;
    place(arrival, random.nextInt(HOSTS));
  }

  private void place(Arrival arrival, int host) {
    if (load.quarantineEnabled
        && hosts.get(host).activeQuarantine(arrival.request, now).isPresent()) {
      if (!arrival.deadly) {
        figures.innocentsQuarantined++;
        figures.pollsQuarantined += arrival.request < FIRST_UNIQUE_FINGERPRINT ? 1 : 0;
      }
      return;
    }
    Runner chosen = leastLoaded();
    if (chosen == null) {
      again(arrival);
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
    figures.deadlyRuns++;
    List<Long> ends = endsUnder.getOrDefault(request, List.of());
    if (ends.size() >= 3 && now > ends.get(2) + BOUND_MILLIS) {
      figures.deadlyRunsPastBound++;
    }
  }

  private void complete(Runner runner, Attempt attempt) {
    if (!runner.up || !runner.running.remove(attempt)) {
      return;
    }
    if (attempt.arrival.deadly) {
      endsUnder.computeIfAbsent(attempt.arrival.request, key -> new ArrayList<>()).add(now);
      runner.running.add(attempt);
      end(runner);
      return;
    }
    long request = attempt.arrival.request;
    hosts.get(attempt.host).recordSuccess(RequestFingerprint.checksumOf(request), now);
    if (hosts.get(attempt.host).clear(request, now)) {
      long at = now;
      tellOthers(attempt.host, other -> other.clear(request, at));
    }
  }

  /** The runner's process ends; its hosts see all connections break within some ms. */
  private void end(Runner runner) {
    runner.up = false;
    endedAt.put(runner.hash, now);
    for (Attempt attempt : runner.running) {
      if (!attempt.arrival.deadly) {
        figures.innocentAttemptsLost++;
      }
      after(1 + random.nextInt(10), () -> broken(runner, attempt));
    }
    int place = runners.indexOf(runner);
    after(2_000 + random.nextInt(3_000), () -> runners.set(place, new Runner(runner.domain)));
  }

  private void broken(Runner runner, Attempt attempt) {
    Arrival arrival = attempt.arrival;
    boolean begun = now - attempt.startedMillis >= arrival.firstEventMillis;
    RunnerTermination end =
        new RunnerTermination(
            arrival.request, runner.hash, attempt.startedMillis, now, begun, false);
    if (hosts.get(attempt.host).recordTermination(end, now)) {
      tellOthers(attempt.host, other -> other.recordTermination(end, now));
    }
    if (arrival.sends < load.sendsPerCall) {
      place(arrival, attempt.host);
    } else {
      again(arrival);
    }
  }

  private void again(Arrival arrival) {
    if (arrival.timesLeft > 0) {
      after(20 + random.nextInt(400), () -> arrive(arrival));
    }
  }

  /** One datagram in fifty is lost and made up for by its repetition. */
  private void tellOthers(int from, Consumer<RequestQuarantine> word) {
    for (int host = 0; host < HOSTS; host++) {
      RequestQuarantine other = hosts.get(host);
      if (host != from) {
        long late = random.nextInt(50) == 0 ? 200 : 0;
        after(1 + random.nextInt(25) + late, () -> word.accept(other));
      }
    }
  }

  /** All runners of one domain go within 50 ms. */
  private void loseDomain() {
    int lost = random.nextInt(DOMAINS);
    for (Runner runner : List.copyOf(runners)) {
      if (runner.domain == lost) {
        after(
            1 + random.nextInt(50),
            () -> {
              if (runner.up) {
                end(runner);
              }
            });
      }
    }
  }

  private void upkeep() {
    LongPredicate lapsed =
        runner -> {
          Long at = endedAt.get(runner);
          return at != null && now - at >= LAPSE_MILLIS;
        };
    for (RequestQuarantine host : hosts) {
      host.confirmTerminations(lapsed);
      host.removeExpired(now);
    }
    after(500, this::upkeep);
  }
}
