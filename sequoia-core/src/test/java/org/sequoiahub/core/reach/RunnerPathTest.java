package org.sequoiahub.core.reach;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.reach.RunnerPath.Verdict;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;

/** Simulates one host, its requests and its connects in virtual time. */
class RunnerPathTest {

  private static final long CONNECT_TIMEOUT_MILLIS = 250;
  private static final long TICK_MILLIS = 20;

  /** The users' bound is 3 s from the cut; half of it is left for the callers that notice first. */
  private static final long LOST_WITHIN_MILLIS = 1_500;

  private static final long RESTORED_WITHIN_MILLIS = 1_000;

  private enum Failure {
    HANGS,
    REFUSED
  }

  /** Requests each 100 ms to the runners in turn, over connections that may be kept. */
  private static final class Host {
    private final RunnerPath path;
    private final List<RunnerEntry> runners;
    private final boolean keepsConnections;
    private final Failure failure;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final List<Verdict> changes = new ArrayList<>();
    final Set<String> down = new HashSet<>();
    LongPredicate cut = at -> false;

    /** When all runners accept connections and respond to nothing. */
    LongPredicate paused = at -> false;

    long now = 10_000;
    long lastChangeMillis;
    int probes;
    private int sent;

    private record Event(long atMillis, Runnable action) {}

    Host(long seed, int runnersPerService, boolean keepsConnections, Failure failure) {
      this.path = new RunnerPath(new Random(seed));
      this.runners = runners(runnersPerService);
      this.keepsConnections = keepsConnections;
      this.failure = failure;
    }

    private static List<RunnerEntry> runners(int perService) {
      return IntStream.range(0, 2 * perService).mapToObj(RunnerPathTest::runner).toList();
    }

    void advance(long millis) {
      for (long end = now + millis; now < end; now += TICK_MILLIS) {
        while (!events.isEmpty() && events.peek().atMillis <= now) {
          events.poll().action.run();
        }
        if (now % 100 == 0) {
          send();
        }
        for (RunnerEntry runner : path.startRoundIfDue(() -> runners, now)) {
          probes++;
          boolean works = works(runner);
          at(connectMillis(works), () -> ended(path.recordProbe(runner.id(), works, now)));
        }
      }
    }

    private boolean works(RunnerEntry runner) {
      return !cut.test(now) && !down.contains(runner.id());
    }

    private long connectMillis(boolean works) {
      return works || failure == Failure.REFUSED ? TICK_MILLIS : CONNECT_TIMEOUT_MILLIS;
    }

    private void at(long delayMillis, Runnable action) {
      events.add(new Event(now + delayMillis, action));
    }

    private void send() {
      if (path.isLost()) {
        return;
      }
      RunnerEntry runner = runners.get(sent++ % runners.size());
      path.recordSent(now);
      if (works(runner)) {
        at(60, this::respond);
      } else if (!keepsConnections) {
        at(connectMillis(false), () -> path.recordConnectFailure(runner.id()));
      }
    }

    private void respond() {
      if (paused.test(now)) {
        at(TICK_MILLIS, this::respond);
      } else {
        path.recordResponse();
      }
    }

    private void ended(Verdict verdict) {
      if (verdict == Verdict.LOST || verdict == Verdict.RESTORED) {
        changes.add(verdict);
        lastChangeMillis = now;
      }
    }
  }

  private static RunnerEntry runner(int number) {
    return new RunnerEntry(
        new RunnerIncarnation("i-" + number, 1),
        1,
        number % 2 == 0 ? "llm" : "plain",
        SoftwareVersion.of("v1"),
        "10.0.0." + number + ":80",
        "z" + number / 2 % 4,
        8,
        false,
        -1,
        0,
        Set.of(),
        Map.of());
  }

  @Property(tries = 200, seed = "20261217")
  void cutIsFoundAndItsEndToo(
      @ForAll @IntRange(min = 1, max = 40) int runnersPerService,
      @ForAll boolean keepsConnections,
      @ForAll Failure failure,
      @ForAll @IntRange(min = 0, max = 5_000) int from,
      @ForAll long seed) {
    Host host = new Host(seed, runnersPerService, keepsConnections, failure);
    host.advance(from);
    host.cut = at -> true;
    long cutMillis = host.now;
    host.advance(LOST_WITHIN_MILLIS + 500);
    assertThat(host.changes).containsExactly(Verdict.LOST);
    assertThat(host.lastChangeMillis - cutMillis).isAtMost(LOST_WITHIN_MILLIS);
    host.advance(4_000);
    host.cut = at -> false;
    long healedMillis = host.now;
    host.advance(3_000);
    assertThat(host.changes).containsExactly(Verdict.LOST, Verdict.RESTORED).inOrder();
    assertThat(host.lastChangeMillis - healedMillis).isAtMost(RESTORED_WITHIN_MILLIS);
  }

  @Property(tries = 100, seed = "20261218")
  void someRunnersDownAreNoCut(
      @ForAll @IntRange(min = 2, max = 20) int perService,
      @ForAll boolean keepsConnections,
      @ForAll Failure failure,
      @ForAll long seed) {
    Host host = new Host(seed, perService, keepsConnections, failure);
    Random random = new Random(seed);
    host.runners.stream()
        .filter(runner -> random.nextInt(3) == 0 && !runner.id().equals("i-0"))
        .filter(runner -> !runner.id().equals("i-1"))
        .forEach(runner -> host.down.add(runner.id()));
    host.down.remove("i-0");
    host.advance(20_000);
    // Three runners in a row may all be down; the host then reaches runners again at once.
    assertThat(host.path.isLost() && host.now - host.lastChangeMillis > 2_000).isFalse();
  }

  @Nested
  class Cut {
    /** Guards against a flapping path that changes the decision with every flap. */
    @Test
    void flappingPathStaysLost() {
      Host host = new Host(1, 8, false, Failure.HANGS);
      host.cut = at -> at / 400 % 2 == 0;
      host.advance(20_000);
      assertWithMessage("changes in 50 flaps").that(host.changes.size()).isAtMost(10);
    }

    @Test
    void probesAreBounded() {
      Host host = new Host(1, 8, false, Failure.HANGS);
      host.cut = at -> true;
      host.advance(10_000);
      assertThat(host.probes).isAtMost(10_000 / 300 * 3 + 6);
    }
  }

  /** Guards against a host that passes all requests on because of what is no cut. */
  @Nested
  class FailedRunners {
    private void staysReachable(Host host) {
      host.advance(20_000);
      assertThat(host.changes).isEmpty();
    }

    @Test
    void wholeServiceDown() {
      for (long seed = 1; seed <= 50; seed++) {
        Host host = new Host(seed, 8, false, Failure.REFUSED);
        host.runners.stream()
            .filter(runner -> runner.service().equals("plain"))
            .forEach(runner -> host.down.add(runner.id()));
        staysReachable(host);
      }
    }

    @Test
    void allRunnersPause() {
      for (long seed = 1; seed <= 50; seed++) {
        for (boolean keepsConnections : List.of(true, false)) {
          Host host = new Host(seed, 8, keepsConnections, Failure.HANGS);
          long pauseMillis = 1_000 + 40 * seed;
          host.paused = at -> at % 5_000 < pauseMillis;
          staysReachable(host);
        }
      }
    }

    @Test
    void oneRunnerDown() {
      for (long seed = 1; seed <= 50; seed++) {
        Host host = new Host(seed, 4, false, Failure.HANGS);
        host.down.add("i-3");
        staysReachable(host);
      }
    }
  }

  @Nested
  class Suspension {
    /** Guards against a host that waits for ever for the results of a round. */
    @Test
    void roundWithoutResultsIsAbandoned() {
      RunnerPath path = new RunnerPath(new Random(1));
      List<RunnerEntry> runners = List.of(runner(0), runner(1), runner(2), runner(3));
      path.recordConnectFailure("i-0");
      assertThat(path.startRoundIfDue(() -> runners, 1_000)).hasSize(3);
      assertThat(path.startRoundIfDue(() -> runners, 2_900)).isEmpty();
      assertThat(path.startRoundIfDue(() -> runners, 3_100)).hasSize(3);
    }
  }
}
