package org.sequoiahub.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.jspecify.annotations.Nullable;

/**
 * Simulates, in virtual time, a fleet whose runners terminate when they begin to respond to a
 * request with a certain prompt part.
 *
 * <p>All requests are different. Sound ones share their first part with those that terminate
 * runners. Hosts tell each other of terminations and successes by datagrams that are delayed and
 * lost.
 */
final class PartSimulation {

  /** Where the part that terminates runners stands in its prompts. */
  enum Position {
    FIRST,
    SECOND,
    THIRD,

    /** Second, and always after the same other part, which no sound request has. */
    WITH_COMPANION
  }

  /** What else happens. */
  enum Trouble {
    NONE,

    /** All runners of a failure domain terminate at the same time. */
    DOMAIN_LOST,

    /** The connections of all runners are reset three times; their processes live on. */
    RESETS,

    /** A runner terminates for a reason of its own every three seconds. */
    RUNNERS_FAIL,

    /** The part was used by sound requests before it became bad. */
    BECOMES_BAD
  }

  /**
   * Parameters of a simulation.
   *
   * @param badShare the share of requests with the part that terminates runners
   */
  record Scenario(int hosts, int runners, double badShare, Position position, Trouble trouble) {}

  /** Decides whether a host holds a request back. */
  @FunctionalInterface
  interface Policy {
    boolean isHeld(RequestQuarantine quarantine, List<Long> parts, PartUse use, long nowMillis);
  }

  /** How often parts are used. */
  @FunctionalInterface
  interface PartUse {
    /** Returns the share of all requests that have a part. */
    double share(long part);
  }

  /** Counts of a simulation. */
  static final class Results {
    int terminated;
    int terminatedUntilHeld;

    /** Sends with the part later than the bound after the fifth termination. */
    int sentPastBound;

    int sound;
    int soundHeld;

    /** Sound requests with the first part of the bad ones, from twice the bound on. */
    int soundLater;

    int soundLaterBegun;

    @Override
    public String toString() {
      return String.format(
          "ended %d (until held %d), sent past bound %d, sound held %d of %d, begun later %d of %d",
          terminated,
          terminatedUntilHeld,
          sentPastBound,
          soundHeld,
          sound,
          soundLaterBegun,
          soundLater);
    }
  }

  /** The required limit: time from the fifth termination on (ms). */
  private static final long BOUND_MILLIS = 3_000;

  private static final long DURATION_MILLIS = 30_000;
  private static final long BAD_FROM_MILLIS = 8_000;
  private static final long TROUBLE_MILLIS = 9_000;
  private static final int DOMAINS = 4;
  private static final int SLOTS = 8;
  private static final long MEAN_RUN_MILLIS = 1_500;

  /** Requests in progress per runner, on average. */
  private static final double LOAD = 3;

  private static final long ENTRY_EXPIRY_MILLIS = 4_600;
  private static final long SURVIVED_MILLIS = 200;
  private static final double[] FIRST_PART_SHARES = {0.5, 0.8, 1};
  private static final int SECOND_PARTS = 40;

  private static final long BAD = -1L << Integer.SIZE;
  private static final long COMPANION = -2L << Integer.SIZE;

  private final Scenario scenario;
  private final Policy policy;
  private final Random random;
  private final List<RequestQuarantine> hosts = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Map<Long, Long> terminatedMillis = new HashMap<>();
  private final Map<Long, Integer> uses = new HashMap<>();
  private final Results results = new Results();
  private long now;
  private long number;
  private long requests;
  private long fifthMillis = Long.MAX_VALUE;

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

  /** A request, which is sent once. */
  private static final class Attempt {
    final long request;
    final List<Long> parts;
    final boolean bad;
    final boolean firstPartOfBad;
    final int host;
    final long startedMillis;
    long begunMillis = Long.MAX_VALUE;

    Attempt(long request, List<Long> parts, boolean bad, boolean shared, int host, long now) {
      this.request = request;
      this.parts = parts;
      this.bad = bad;
      this.firstPartOfBad = shared;
      this.host = host;
      this.startedMillis = now;
    }
  }

  PartSimulation(long seed, Scenario scenario, Policy policy) {
    this.random = new Random(seed);
    this.scenario = scenario;
    this.policy = policy;
    for (int host = 0; host < scenario.hosts; host++) {
      hosts.add(new RequestQuarantine(QuarantineSettings.DEFAULT));
    }
    for (int runner = 0; runner < scenario.runners; runner++) {
      runners.add(new Runner(runner % DOMAINS));
    }
  }

  Results run() {
    after(1, this::arrive);
    after(500, this::maintain);
    if (scenario.trouble == Trouble.DOMAIN_LOST) {
      after(TROUBLE_MILLIS, () -> loseDomain(random.nextInt(DOMAINS)));
    }
    if (scenario.trouble == Trouble.RESETS) {
      for (int i = 0; i < 3; i++) {
        after(TROUBLE_MILLIS + 900L * i, () -> List.copyOf(runners).forEach(this::reset));
      }
    }
    if (scenario.trouble == Trouble.RUNNERS_FAIL) {
      after(3_000, this::failRunner);
    }
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

  private void arrive() {
    requests++;
    boolean bad = now >= BAD_FROM_MILLIS && random.nextDouble() < scenario.badShare;
    boolean hasPart =
        bad
            || (scenario.trouble == Trouble.BECOMES_BAD
                && now < BAD_FROM_MILLIS
                && random.nextDouble() < scenario.badShare);
    long first = firstPart();
    List<Long> parts = hasPart ? partsWithBad(first) : List.of(first, secondPart());
    parts.forEach(part -> uses.merge(part, 1, Integer::sum));
    send(
        new Attempt(
            requests << Integer.SIZE | requests,
            parts,
            bad,
            !bad && first == part(0),
            random.nextInt(scenario.hosts),
            now));
    double perMilli = LOAD * scenario.runners / MEAN_RUN_MILLIS;
    after(Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) / perMilli)), this::arrive);
  }

  private static long part(int index) {
    return (-10L - index) << Integer.SIZE;
  }

  private long firstPart() {
    double draw = random.nextDouble();
    int index = 0;
    while (draw > FIRST_PART_SHARES[index]) {
      index++;
    }
    return part(index);
  }

  private long secondPart() {
    // The square of a uniform number draws some parts far more often than others.
    return part(10 + (int) (SECOND_PARTS * Math.pow(random.nextDouble(), 2)));
  }

  private List<Long> partsWithBad(long first) {
    return switch (scenario.position) {
      case FIRST -> List.of(BAD, secondPart());
      case SECOND -> List.of(part(0), BAD);
      case THIRD -> List.of(part(0), secondPart(), BAD);
      case WITH_COMPANION -> List.of(COMPANION, BAD);
    };
  }

  private void send(Attempt attempt) {
    boolean held =
        policy.isHeld(
            hosts.get(attempt.host),
            attempt.parts,
            part -> uses.getOrDefault(part, 0) / (double) requests,
            now);
    Runner runner = held ? null : leastLoaded();
    countArrival(attempt, held);
    if (attempt.bad && held && results.terminatedUntilHeld == 0) {
      results.terminatedUntilHeld = results.terminated;
    }
    if (runner == null) {
      return;
    }
    if (attempt.bad && fifthMillis < Long.MAX_VALUE && now > fifthMillis + BOUND_MILLIS) {
      results.sentPastBound++;
    }
    runner.running.add(attempt);
    after(60 + random.nextInt(90), () -> begin(runner, attempt));
  }

  private void countArrival(Attempt attempt, boolean held) {
    if (attempt.bad) {
      return;
    }
    results.sound++;
    results.soundHeld += held ? 1 : 0;
    results.soundLater += isLater(attempt) ? 1 : 0;
  }

  private boolean isLater(Attempt attempt) {
    return attempt.firstPartOfBad
        && fifthMillis < Long.MAX_VALUE
        && attempt.startedMillis > fifthMillis + 2 * BOUND_MILLIS;
  }

  private @Nullable Runner leastLoaded() {
    Runner best = null;
    for (Runner runner : runners) {
      if (runner.up
          && runner.running.size() < SLOTS
          && (best == null || runner.running.size() < best.running.size())) {
        best = runner;
      }
    }
    return best;
  }

  private void begin(Runner runner, Attempt attempt) {
    if (!runner.running.contains(attempt)) {
      return;
    }
    if (attempt.bad) {
      terminate(runner);
      return;
    }
    attempt.begunMillis = now;
    results.soundLaterBegun += isLater(attempt) ? 1 : 0;
    after(SURVIVED_MILLIS, () -> survive(runner, attempt));
    long runMillis = Math.round(-Math.log(1 - random.nextDouble()) * MEAN_RUN_MILLIS);
    after(SURVIVED_MILLIS + 1 + runMillis, () -> runner.running.remove(attempt));
  }

  private void survive(Runner runner, Attempt attempt) {
    if (!runner.running.contains(attempt)) {
      return;
    }
    RequestQuarantine quarantine = hosts.get(attempt.host);
    quarantine.recordAlive(runner.hash, attempt.startedMillis);
    for (long part : attempt.parts) {
      quarantine.recordSuccess(RequestFingerprint.ofValue(part), attempt.begunMillis);
      if (quarantine.clear(part, attempt.begunMillis)) {
        sendToOthers(attempt.host, other -> other.clear(part, attempt.begunMillis));
      }
    }
  }

  private void terminate(Runner runner) {
    runner.up = false;
    terminatedMillis.put(runner.hash, now);
    if (runner.running.stream().anyMatch(attempt -> attempt.bad)) {
      results.terminated++;
      fifthMillis = results.terminated == 5 ? now : fifthMillis;
    }
    reset(runner);
    int index = runners.indexOf(runner);
    after(2_000 + random.nextInt(3_000), () -> runners.set(index, new Runner(runner.domain)));
  }

  private void reset(Runner runner) {
    for (Attempt attempt : runner.running) {
      after(1 + random.nextInt(10), () -> connectionBroke(runner, attempt));
    }
    runner.running.clear();
  }

  private void connectionBroke(Runner runner, Attempt attempt) {
    RequestQuarantine quarantine = hosts.get(attempt.host);
    RunnerTermination end =
        new RunnerTermination(
            attempt.request, runner.hash, attempt.startedMillis, now, false, false);
    report(attempt.host, end);
    if (now - attempt.begunMillis >= SURVIVED_MILLIS) {
      return;
    }
    Set<Long> seen = new HashSet<>();
    for (int i = 0; i < attempt.parts.size(); i++) {
      long part = attempt.parts.get(i);
      if (seen.add(part)) {
        report(attempt.host, end.ofPart(part, i + 1, quarantine.isKnownGood(part, now)));
      }
    }
  }

  private void report(int host, RunnerTermination end) {
    if (hosts.get(host).recordTermination(end, now)) {
      sendToOthers(host, other -> other.recordTermination(end, now));
    }
  }

  /** Delivers an update to the other hosts; one datagram in twenty is lost and repeated later. */
  private void sendToOthers(int from, Consumer<RequestQuarantine> update) {
    for (int host = 0; host < scenario.hosts; host++) {
      RequestQuarantine other = hosts.get(host);
      if (host != from) {
        long delayMillis = random.nextInt(20) == 0 ? 200 : 0;
        after(1 + random.nextInt(25) + delayMillis, () -> update.accept(other));
      }
    }
  }

  private void loseDomain(int domain) {
    for (Runner runner : List.copyOf(runners)) {
      if (runner.up && runner.domain == domain) {
        after(1 + random.nextInt(20), () -> failIfUp(runner));
      }
    }
  }

  private void failRunner() {
    failIfUp(runners.get(random.nextInt(runners.size())));
    after(3_000, this::failRunner);
  }

  private void failIfUp(Runner runner) {
    if (runner.up) {
      runner.up = false;
      terminatedMillis.put(runner.hash, now);
      reset(runner);
      int index = runners.indexOf(runner);
      after(2_000 + random.nextInt(3_000), () -> runners.set(index, new Runner(runner.domain)));
    }
  }

  private void maintain() {
    LongPredicate hasExpired =
        runner -> now - terminatedMillis.getOrDefault(runner, now) >= ENTRY_EXPIRY_MILLIS;
    for (RequestQuarantine host : hosts) {
      host.confirmTerminations(hasExpired);
      host.removeExpired(now);
    }
    after(500, this::maintain);
  }
}
