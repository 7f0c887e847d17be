package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.call.PromptPart;
import org.sequoiahub.core.capacity.CapacityEstimator;
import org.sequoiahub.core.capacity.RunnerSpeed;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.runnerstate.StatedLoad;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;

/**
 * Plays prompts through the choice of a runner in virtual time, with runners of different speeds of
 * which a sixth is slowed for six seconds, and compares the speeds that the choice may use.
 */
class CapacityLoadTest {

  private static final int RUNNERS = 48;
  private static final int TOKENS = 4_000;
  private static final double TOKENS_PER_MILLI = 38;
  private static final long TARGET_MILLIS = 1_015;
  private static final long DEADLINE_MILLIS = 5_000;
  private static final long END_MILLIS = 14_000;
  private static final long SLOW_FROM_MILLIS = 5_000;
  private static final long SLOW_UNTIL_MILLIS = 11_000;

  /** Interval at which hosts learn the counts of the others, and at which paces change (ms). */
  private static final int EXCHANGE_MILLIS = 100;

  private static final Generation GENERATION =
      new Generation("m", "", TOKENS, 50, 50, List.of(new PromptPart("s", TOKENS)));

  private enum Knowledge {
    CONSTANTS,
    ESTIMATES,

    /** The true speeds with the counts that hosts know. */
    SPEEDS,

    /** The true speeds and the current counts, so that hosts do not gather at the same runner. */
    ORACLE
  }

  /**
   * What a run measured.
   *
   * @param goodput the fraction of the requests whose first event was in time
   * @param imbalance the load divided by speed of the most loaded runner, relative to the mean
   */
  private record Result(double goodput, double imbalance) {}

  private record Sent(int host, int runner, long atMillis, long ahead, long endMillis) {}

  /** One run. */
  private static final class Load {
    private final GenerationPlacement placement =
        new GenerationPlacement(PlacementSettings.DEFAULT);
    private final Random random;
    private final Knowledge knowledge;
    private final List<CapacityEstimator> hosts = new ArrayList<>();
    private final List<RunnerEntry> runners = new ArrayList<>();
    private final double[] speeds = new double[RUNNERS];
    private final double[][] paces =
        new double[RUNNERS][(int) (2 * END_MILLIS / EXCHANGE_MILLIS) + 1];
    private final double[] busyUntil = new double[RUNNERS];
    private final int[] outstanding = new int[RUNNERS];
    private final int[] exchanged = new int[RUNNERS];
    private final Map<Integer, int[]> sinceExchange = new HashMap<>();
    private final double[] sentTokens = new double[RUNNERS];
    private final PriorityQueue<Sent> running =
        new PriorityQueue<>(Comparator.comparingLong(Sent::endMillis));

    Load(int hostCount, Knowledge knowledge, long seed) {
      this.knowledge = knowledge;
      this.random = new Random(seed);
      for (int i = 0; i < hostCount; i++) {
        hosts.add(new CapacityEstimator("host-" + i, (service, runner, now) -> {}));
      }
      for (int i = 0; i < RUNNERS; i++) {
        runners.add(
            new RunnerEntry(
                RunnerIncarnation.of("r" + i),
                0,
                "s",
                SoftwareVersion.of("v1"),
                "10.0.0.1:80",
                "d",
                64,
                false,
                -1,
                0,
                Set.of("m"),
                Map.of()));
        speeds[i] = TOKENS_PER_MILLI * (0.55 + 0.75 * (i * 7 % RUNNERS) / (RUNNERS - 1));
        for (int step = 0; step < paces[i].length; step++) {
          long at = (long) step * EXCHANGE_MILLIS;
          boolean slow = i % 6 == 0 && at >= SLOW_FROM_MILLIS && at < SLOW_UNTIL_MILLIS;
          paces[i][step] = (slow ? 3.5 : 1) * (0.9 + 0.2 * random.nextDouble());
        }
      }
    }

    private double pace(int runner, double atMillis) {
      return paces[runner][(int) Math.min(paces[runner].length - 1, atMillis / EXCHANGE_MILLIS)];
    }

    Result run(double utilization) {
      double capacity = 0;
      for (int i = 0; i < RUNNERS; i++) {
        for (long at = 0; at < END_MILLIS; at += EXCHANGE_MILLIS) {
          capacity += speeds[i] / pace(i, at) / (END_MILLIS / EXCHANGE_MILLIS);
        }
      }
      double meanGapMillis = TOKENS / (capacity * utilization);
      int inTime = 0;
      int requests = 0;
      long lastExchange = 0;
      for (double at = 0;
          at < END_MILLIS;
          at -= meanGapMillis * Math.log(1 - random.nextDouble())) {
        long now = (long) at;
        while (!running.isEmpty() && running.element().endMillis <= now) {
          end(running.remove());
        }
        if (now - lastExchange >= EXCHANGE_MILLIS) {
          lastExchange = now;
          System.arraycopy(outstanding, 0, exchanged, 0, RUNNERS);
          sinceExchange.clear();
        }
        requests++;
        inTime += place(random.nextInt(hosts.size()), now) ? 1 : 0;
      }
      double most = 0;
      double mean = 0;
      for (int i = 0; i < RUNNERS; i++) {
        double usable = 0;
        for (long at = 0; at < END_MILLIS; at += EXCHANGE_MILLIS) {
          usable += speeds[i] / pace(i, at) * EXCHANGE_MILLIS;
        }
        most = Math.max(most, sentTokens[i] / usable);
        mean += sentTokens[i] / usable / RUNNERS;
      }
      return new Result((double) inTime / requests, most / mean);
    }

    private boolean place(int host, long now) {
      int[] own = sinceExchange.computeIfAbsent(host, key -> new int[RUNNERS]);
      List<Candidate> candidates = new ArrayList<>();
      for (int i = 0; i < RUNNERS; i++) {
        int count =
            knowledge == Knowledge.ORACLE ? outstanding[i] : Math.max(0, exchanged[i] + own[i]);
        candidates.add(
            new Candidate(
                runners.get(i),
                count,
                (long) count * TOKENS,
                0,
                TOKENS,
                0,
                new SendDecision.Now(),
                false,
                0,
                true,
                true,
                true,
                0,
                0,
                false,
                true,
                speed(host, i, now)));
      }
      GenerationPlacement.Choice choice =
          placement
              .choose(GENERATION, new StreamLimits(0, 1, TARGET_MILLIS), candidates, "")
              .orElseThrow();
      if (choice.firstTokenMillis() > DEADLINE_MILLIS) {
        return false;
      }
      int chosen = runners.indexOf(choice.candidate().runner());
      double end = Math.max(now, busyUntil[chosen]);
      for (double left = TOKENS; left > 0; ) {
        double perMilli = speeds[chosen] / pace(chosen, end);
        double millis = Math.min(left / perMilli, EXCHANGE_MILLIS - end % EXCHANGE_MILLIS + 1e-6);
        left -= millis * perMilli + 1e-6;
        end += millis;
      }
      busyUntil[chosen] = end;
      sentTokens[chosen] += TOKENS;
      outstanding[chosen]++;
      own[chosen]++;
      long endMillis = (long) Math.ceil(end);
      long ahead = choice.candidate().unreadAheadTokens();
      running.add(new Sent(host, chosen, now, ahead, endMillis));
      return endMillis - now <= TARGET_MILLIS;
    }

    private RunnerSpeed speed(int host, int runner, long now) {
      return switch (knowledge) {
        case CONSTANTS -> RunnerSpeed.DEFAULT;
        case ESTIMATES -> hosts.get(host).speed(runners.get(runner).id(), "s", now);
        case SPEEDS, ORACLE -> new RunnerSpeed(speeds[runner], 40, pace(runner, now), 0.3);
      };
    }

    private void end(Sent sent) {
      outstanding[sent.runner]--;
      int[] own = sinceExchange.get(sent.host);
      if (own != null) {
        own[sent.runner]--;
      }
      String id = runners.get(sent.runner).id();
      int percent = (int) Math.round(100 * pace(sent.runner, sent.endMillis));
      CapacityEstimator estimator = hosts.get(sent.host);
      estimator.recordStated(id, "s", new StatedLoad(1, 0, 64, percent), sent.endMillis);
      estimator.recordFirstEvent(
          id, "s", sent.ahead + TOKENS, sent.endMillis - sent.atMillis, sent.endMillis);
    }
  }

  private static Result run(int hosts, double utilization, Knowledge knowledge) {
    return new Load(hosts, knowledge, 1).run(utilization);
  }

  private static void assertNearOracle(int hosts, double utilization) {
    double estimates = run(hosts, utilization, Knowledge.ESTIMATES).goodput;
    double oracle = run(hosts, utilization, Knowledge.ORACLE).goodput;
    assertThat(estimates).isAtLeast(0.95 * oracle);
  }

  private static void assertBalanced(int hosts, double utilization) {
    assertThat(run(hosts, utilization, Knowledge.ESTIMATES).imbalance).isAtMost(1.3);
  }

  /** Guards against estimates that place requests worse than no estimates. */
  @ParameterizedTest
  @CsvSource({
    "7,0.5",
    "7,0.8",
    "7,0.95",
    "77,0.5",
    "77,0.8",
    "77,0.95",
    "300,0.5",
    "300,0.8",
    "300,0.95"
  })
  void estimatesServeAtLeastAsManyInTimeAsConstants(int hosts, double utilization) {
    double constants = run(hosts, utilization, Knowledge.CONSTANTS).goodput;
    double estimates = run(hosts, utilization, Knowledge.ESTIMATES).goodput;
    assertThat(estimates).isAtLeast(constants);
  }

  /** Guards against estimates that are worse than the true speeds with the same counts. */
  @ParameterizedTest
  @CsvSource({
    "7,0.5",
    "7,0.8",
    "7,0.95",
    "77,0.5",
    "77,0.8",
    "77,0.95",
    "300,0.5",
    "300,0.8",
    "300,0.95"
  })
  void estimatesServeNearlyAsManyInTimeAsTheTrueSpeeds(int hosts, double utilization) {
    double estimates = run(hosts, utilization, Knowledge.ESTIMATES).goodput;
    double speeds = run(hosts, utilization, Knowledge.SPEEDS).goodput;
    assertThat(estimates).isAtLeast(0.95 * speeds);
  }

  /** Guards against estimates that follow the runners' speeds too slowly or not at all. */
  @ParameterizedTest
  @CsvSource({"7,0.5", "7,0.8", "7,0.95"})
  void fewHostsServeNearlyAsManyInTimeAsTheOracle(int hosts, double utilization) {
    assertNearOracle(hosts, utilization);
  }

  /** Guards against many hosts that gather at the same runner between two exchanges of counts. */
  @Tag("known-red")
  @ParameterizedTest
  @CsvSource({"77,0.5", "77,0.8", "77,0.95", "300,0.5", "300,0.8", "300,0.95"})
  void manyHostsServeNearlyAsManyInTimeAsTheOracle(int hosts, double utilization) {
    assertNearOracle(hosts, utilization);
  }

  /** Guards against herding at the runners that seem fastest. */
  @ParameterizedTest
  @CsvSource({"7,0.8", "7,0.95", "77,0.8", "77,0.95", "300,0.8"})
  void noRunnerIsMoreThanThreeTenthsAboveTheMeanLoad(int hosts, double utilization) {
    assertBalanced(hosts, utilization);
  }

  /**
   * Guards against herding at half of the capacity, where the soonest first event is always at a
   * fast runner, and of the most hosts near the capacity.
   */
  @Tag("known-red")
  @ParameterizedTest
  @CsvSource({"7,0.5", "77,0.5", "300,0.5", "300,0.95"})
  void noRunnerIsMoreThanThreeTenthsAboveTheMeanLoadAtAnyUse(int hosts, double utilization) {
    assertBalanced(hosts, utilization);
  }
}
