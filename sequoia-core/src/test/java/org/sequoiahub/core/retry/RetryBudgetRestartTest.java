package org.sequoiahub.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests that the retries of all hosts stay within the budget although processes terminate and
 * restart.
 */
class RetryBudgetRestartTest {

  /** Requests per second of each of seven hosts. */
  private static final List<Integer> RATES = Collections.nCopies(7, 16);

  private static final int DOWN_MILLIS = 600;

  /** Every request fails, so that each host retries as often as it may. */
  private static final double GREEDY = 1;

  private static RetryBudgetSimulation simulation(long seed, List<Integer> requestsPerSecond) {
    return new RetryBudgetSimulation(
        seed,
        requestsPerSecond,
        (first, now) -> new SharedRetryBudget(RetryBudgetSimulation.SETTINGS, now, first));
  }

  /** What happens to some of the hosts. */
  enum Kind {
    KILL_ONE,
    KILL_ALL,
    ISOLATE,
    HEAL,
    JOIN,
    NOTHING
  }

  record Step(Kind kind, int host, int thenMillis) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, 8),
            Arbitraries.integers().between(100, 6_000))
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(10);
  }

  @Property(tries = 300, seed = "20261215")
  void budgetHoldsUnderAnyRestarts(
      @ForAll @Size(min = 1, max = 9) List<@IntRange(min = 0, max = 40) Integer> requestsPerSecond,
      @ForAll("steps") List<Step> steps,
      @ForAll long seed) {
    RetryBudgetSimulation simulation = simulation(seed, requestsPerSecond);
    simulation.advanceTime(12_000, GREEDY);
    for (Step step : steps) {
      int host = step.host() % simulation.size();
      switch (step.kind()) {
        case KILL_ONE -> restart(simulation, host, host + 1, GREEDY);
        case KILL_ALL -> restart(simulation, 0, simulation.size(), GREEDY);
        case ISOLATE -> simulation.isolate(host, true);
        case HEAL -> simulation.isolate(host, false);
        case JOIN -> {
          if (simulation.size() < 12) {
            simulation.join(5);
          }
        }
        default -> {}
      }
      simulation.advanceTime(step.thenMillis(), GREEDY);
    }
    assertThat(simulation.worstExcess()).isAtMost(0.0);
  }

  /** Guards against repeats beyond the budget on days with several disruptions at once. */
  @Property(tries = 60, seed = "20261216")
  void budgetHoldsUnderTroublesThatOverlap(
      @ForAll @IntRange(min = 2, max = 9) int hosts, @ForAll long seed) {
    overlap(hosts, seed);
  }

  @Test
  void budgetHoldsUnderTroublesThatOverlapAt77And300Hosts() {
    overlap(77, 77);
    overlap(300, 300);
  }

  /** In each half second for three windows some hosts are killed, started, frozen or isolated. */
  private static void overlap(int hosts, long seed) {
    Random random = new Random(seed);
    RetryBudgetSimulation simulation =
        simulation(seed, Collections.nCopies(hosts, Math.max(1, 112 / hosts)));
    simulation.advanceTime(12_000, GREEDY);
    for (int step = 0; step < 60; step++) {
      for (int troubled = 0; troubled < 1 + hosts / 10; troubled++) {
        int host = random.nextInt(hosts);
        switch (random.nextInt(5)) {
          case 0 -> simulation.kill(host);
          case 1 -> simulation.freeze(host, 200 + random.nextInt(5_000));
          case 2 -> simulation.isolate(host, random.nextBoolean());
          default -> {
            if (!simulation.isUp(host)) {
              simulation.start(host);
            }
          }
        }
      }
      simulation.advanceTime(500, GREEDY);
    }
    assertThat(simulation.worstExcess()).isAtMost(0.0);
  }

  private static void restart(
      RetryBudgetSimulation simulation, int from, int to, double failingFraction) {
    for (int host = from; host < to; host++) {
      simulation.kill(host);
    }
    simulation.advanceTime(DOWN_MILLIS, failingFraction);
    for (int host = from; host < to; host++) {
      simulation.start(host);
    }
  }

  @Nested
  class SevenHosts {

    private final RetryBudgetSimulation simulation = simulation(7, RATES);

    /** Guards against processes that spend their host's share again after each start. */
    @Test
    void allKilledAtOnceFiveTimesInOneWindow() {
      simulation.advanceTime(15_000, GREEDY);
      for (int kill = 0; kill < 5; kill++) {
        restart(simulation, 0, 7, GREEDY);
        simulation.advanceTime(1_000, GREEDY);
      }
      simulation.advanceTime(10_000, GREEDY);
      assertThat(simulation.worstExcess()).isAtMost(0.0);
    }

    @Test
    void killedOneAfterTheOther() {
      simulation.advanceTime(15_000, GREEDY);
      for (int host = 0; host < 7; host++) {
        restart(simulation, host, host + 1, GREEDY);
        simulation.advanceTime(500, GREEDY);
      }
      assertThat(simulation.worstExcess()).isAtMost(0.0);
    }

    /** Guards against a budget that is kept by denying the retries that callers need. */
    @Test
    void mostRetriesAreServedDuringRestarts() {
      for (double failingFraction : new double[] {0.04, 0.08, 0.12, 0.16}) {
        RetryBudgetSimulation steady = simulation(7, RATES);
        steady.advanceTime(30_000, failingFraction);
        RetryBudgetSimulation rolling = simulation(7, RATES);
        rolling.advanceTime(15_000, failingFraction);
        for (int host = 0; host < 7; host++) {
          restart(rolling, host, host + 1, failingFraction);
          rolling.advanceTime(2_000, failingFraction);
        }
        RetryBudgetSimulation allRestarted = simulation(7, RATES);
        allRestarted.advanceTime(15_000, failingFraction);
        restart(allRestarted, 0, 7, failingFraction);
        allRestarted.advanceTime(10_000, failingFraction);
        System.out.printf(
            "fraction of retries served if %.2f fail: steady %.3f, rolling restart %.3f,"
                + " all restarted %.3f%n",
            failingFraction,
            steady.servedFraction(),
            rolling.servedFraction(),
            allRestarted.servedFraction());
        if (failingFraction <= 0.08) {
          assertThat(steady.servedFraction()).isAtLeast(0.99);
          assertThat(rolling.servedFraction()).isAtLeast(0.9);
          assertThat(allRestarted.servedFraction()).isAtLeast(0.8);
        }
      }
    }
  }
}
