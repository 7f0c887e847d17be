package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Compares policies that keep the fleet within the runners' limits under the same load. */
class FleetRateLimitPoliciesTest {

  private static final int RUNNERS = 8;
  private static final int JOIN_MILLIS = 8_000;
  private static final double LOAD = 180;

  /**
   * The measurements of one policy. Windows are parts of the users' bound.
   *
   * @param used the calls to all limited runners as a part of what their limits allow
   * @param waitMillis the mean wait of a served request before it was sent
   */
  private record Result(
      double worstBurst,
      double worstHalves,
      double worstOneWay,
      double used,
      double waitMillis,
      int inTime,
      int late,
      int refused) {

    double worst() {
      return Math.max(worstBurst, Math.max(worstHalves, worstOneWay));
    }
  }

  private static RunnerLimitSimulation limited(
      int hosts, double limit, RunnerLimitSimulation.LimitPolicy policy) {
    RunnerLimitSimulation simulation = new RunnerLimitSimulation(11, hosts, RUNNERS, policy);
    simulation.peers.loseOneIn(20);
    simulation.offerLoad(JOIN_MILLIS, 0);
    for (int runner = 0; runner < RUNNERS; runner++) {
      simulation.state(runner, limit);
    }
    simulation.offerLoad(4_000, LOAD);
    return simulation;
  }

  private static Result measure(
      int hosts, double limit, Supplier<RunnerLimitSimulation.LimitPolicy> policy) {
    RunnerLimitSimulation burst = limited(hosts, limit, policy.get());
    final long from = burst.peers.now();
    burst.countFromNow();
    // Hosts that have sent nothing for a while take their next request at the same moment.
    burst.offerLoad(5_000, 0);
    burst.burst(2);
    burst.offerLoad(11_000, LOAD);
    RunnerLimitSimulation halves = limited(hosts, limit, policy.get());
    halves.peers.cut((a, b) -> a % 2 != b % 2);
    halves.offerLoad(15_000, LOAD);
    RunnerLimitSimulation oneWay = limited(hosts, limit, policy.get());
    oneWay.peers.cut((a, b) -> a == 0);
    oneWay.offerLoad(12_000, LOAD);
    return new Result(
        burst.observer.worst(false, 0).ratio(),
        halves.observer.worst(false, 0).ratio(),
        oneWay.observer.worst(false, 0).ratio(),
        burst.usedShare(from + 5_000),
        burst.meanWaitMillis(),
        burst.inTime,
        burst.late,
        burst.refused);
  }

  private static Map<String, Result> compare(int hosts, double limit) {
    Map<String, Supplier<RunnerLimitSimulation.LimitPolicy>> policies = new LinkedHashMap<>();
    policies.put("none", AlternativeLimitPolicies::none);
    policies.put("equal shares", AlternativeLimitPolicies::equalShares);
    policies.put("delayed sums", AlternativeLimitPolicies::delayedSums);
    policies.put("permits", () -> RunnerLimitSimulation.PERMITS);
    Map<String, Result> results = new LinkedHashMap<>();
    policies.forEach(
        (name, policy) -> {
          Result result = measure(hosts, limit, policy);
          results.put(name, result);
          System.out.printf(
              Locale.ROOT,
              "limits: %d hosts, %.1f/s, %-13s worst: burst %.2f, halves %.2f, one-way cut %.2f;"
                  + " used %.2f, wait %.0f ms, in time %d, late %d, refused %d%n",
              hosts,
              limit,
              name,
              result.worstBurst,
              result.worstHalves,
              result.worstOneWay,
              result.used,
              result.waitMillis,
              result.inTime,
              result.late,
              result.refused);
        });
    return results;
  }

  @Test
  void permitsKeepTheBoundAndUseTheLimits() {
    for (int hosts : new int[] {7, 77}) {
      for (double limit : hosts == 7 ? new double[] {0.2, 1, 20} : new double[] {1}) {
        Map<String, Result> results = compare(hosts, limit);
        Result permits = requireNonNull(results.get("permits"));
        assertWithMessage("worst window").that(permits.worst()).isAtMost(1.0);
        assertThat(permits.used()).isGreaterThan(0.6);
      }
    }
  }
}
