package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Compares policies that enforce an allowance under the same load: 77 hosts and one workspace that
 * usually requests 0.56 of its limit and then 4.2 times its limit.
 */
class AllowancePoliciesTest {

  private static final int HOSTS = 77;
  private static final int JOIN_MILLIS = 12_000;
  private static final double USUAL_LOAD = 1 / 1.8;
  private static final double OVERLOAD = 7.5 * USUAL_LOAD;

  /**
   * The measurements of one policy: granted tokens as a part of the bound, except for the refused
   * share at the usual load and the granted share of the limit.
   */
  private record Result(
      double refusedAtUsualLoad,
      double overload,
      double overloadGranted,
      double splitInHalves,
      double isolatedHosts,
      double restart) {}

  private static Result measure(Supplier<AllowanceSimulation.Policy> policy) {
    AllowanceSimulation usualLoad = atUsualLoad(policy.get());
    usualLoad.countFromNow();
    usualLoad.offerLoad(20_000, USUAL_LOAD);
    AllowanceSimulation overload = atUsualLoad(policy.get());
    overload.countAllFromNow();
    overload.offerLoad(12_000, OVERLOAD);
    return new Result(
        usualLoad.refusedShare(),
        overload.worstWindow(),
        overload.grantedShare(),
        cut(policy.get(), 2),
        cut(policy.get(), 0),
        restart(policy.get()));
  }

  private static AllowanceSimulation atUsualLoad(AllowanceSimulation.Policy policy) {
    AllowanceSimulation simulation = new AllowanceSimulation(11, HOSTS, policy);
    simulation.offerLoad(JOIN_MILLIS, 0);
    simulation.offerLoad(10_000, USUAL_LOAD);
    return simulation;
  }

  /** Splits the fleet into {@code parts}, or isolates each host of a third of it if that is 0. */
  private static double cut(AllowanceSimulation.Policy policy, int parts) {
    AllowanceSimulation simulation = atUsualLoad(policy);
    simulation.peers.cut(
        (from, to) -> parts == 0 ? from % 3 == 0 || to % 3 == 0 : from % parts != to % parts);
    simulation.offerLoad(1_500, USUAL_LOAD);
    simulation.countAllFromNow();
    simulation.offerLoad(8_000, OVERLOAD);
    return simulation.worstWindow();
  }

  private static double restart(AllowanceSimulation.Policy policy) {
    AllowanceSimulation simulation = atUsualLoad(policy);
    simulation.countAllFromNow();
    simulation.offerLoad(4_000, OVERLOAD);
    for (int number = 0; number < HOSTS; number++) {
      simulation.peers.kill(number);
    }
    simulation.peers.advance(700);
    for (int number = 0; number < HOSTS; number++) {
      simulation.restart(number);
    }
    simulation.offerLoad(8_000, OVERLOAD);
    return simulation.worstWindow();
  }

  @Test
  void delayedSumsKeepTheBoundAndRefuseLeast() {
    Map<String, Supplier<AllowanceSimulation.Policy>> policies = new LinkedHashMap<>();
    policies.put("equal shares", AlternativePolicies::equalShares);
    policies.put("shares that follow demand", AlternativePolicies::demandShares);
    policies.put("leases from a home host", AlternativePolicies::homeLeases);
    policies.put("delayed sums", () -> AllowanceSimulation.DELAYED_SUMS);
    Map<String, Result> results = new LinkedHashMap<>();
    policies.forEach((name, policy) -> results.put(name, measure(policy)));
    results.forEach(
        (name, result) ->
            System.out.printf(
                Locale.ROOT,
                "%-26s refused at the usual load %.3f; part of the bound: overload %.2f (granted"
                    + " %.2f of the limit), split in halves %.2f, isolated hosts %.2f,"
                    + " all restarted %.2f%n",
                name,
                result.refusedAtUsualLoad,
                result.overload,
                result.overloadGranted,
                result.splitInHalves,
                result.isolatedHosts,
                result.restart));
    Result delayedSums = requireNonNull(results.get("delayed sums"));
    assertThat(delayedSums.refusedAtUsualLoad).isLessThan(0.01);
    assertWithMessage("the worst window")
        .that(
            Math.max(
                Math.max(delayedSums.overload, delayedSums.splitInHalves),
                Math.max(delayedSums.isolatedHosts, delayedSums.restart)))
        .isAtMost(1.0);
  }
}
