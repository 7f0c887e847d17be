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
 * What each way of keeping to an allowance costs callers and operators, on the same load: 77 hosts,
 * one workspace that usually asks for 0.56 of its limit and then for 4.2 times as much as it may.
 */
class AllowancePoliciesTest {

  private static final int HOSTS = 77;
  private static final int JOIN_MILLIS = 12_000;
  private static final double USUAL_LOAD = 1 / 1.8;
  private static final double OVERLOAD = 7.5 * USUAL_LOAD;

  /** What was seen of one way. */
  private record Result(
      double refusedAtUsualLoad,
      double overload,
      double overloadGranted,
      double splitInHalves,
      double isolatedHosts,
      double restart) {}

  private static Result measure(Supplier<AllowanceSimulation.Policy> policy) {
    AllowanceSimulation usual = atUsualLoad(policy.get());
    usual.countFromNow();
    usual.offerLoad(20_000, USUAL_LOAD);
    AllowanceSimulation hot = atUsualLoad(policy.get());
    hot.countAllFromNow();
    hot.offerLoad(12_000, OVERLOAD);
    return new Result(
        usual.refusedShare(),
        hot.worstWindow(),
        hot.grantedShare(),
        cut(policy.get(), 2),
        cut(policy.get(), 0),
        restart(policy.get()));
  }

  private static AllowanceSimulation atUsualLoad(AllowanceSimulation.Policy policy) {
    AllowanceSimulation world = new AllowanceSimulation(11, HOSTS, policy);
    world.offerLoad(JOIN_MILLIS, 0);
    world.offerLoad(10_000, USUAL_LOAD);
    return world;
  }

  /** Cuts the fleet into {@code parts}, or a third of it off one by one if that is 0. */
  private static double cut(AllowanceSimulation.Policy policy, int parts) {
    AllowanceSimulation world = atUsualLoad(policy);
    world.peers.cut(
        (from, to) -> parts == 0 ? from % 3 == 0 || to % 3 == 0 : from % parts != to % parts);
    world.offerLoad(1_500, USUAL_LOAD);
    world.countAllFromNow();
    world.offerLoad(8_000, OVERLOAD);
    return world.worstWindow();
  }

  private static double restart(AllowanceSimulation.Policy policy) {
    AllowanceSimulation world = atUsualLoad(policy);
    world.countAllFromNow();
    world.offerLoad(4_000, OVERLOAD);
    for (int number = 0; number < HOSTS; number++) {
      world.peers.kill(number);
    }
    world.peers.advance(700);
    for (int number = 0; number < HOSTS; number++) {
      world.restart(number);
    }
    world.offerLoad(8_000, OVERLOAD);
    return world.worstWindow();
  }

  @Test
  void delayedSumsKeepTheBoundAndRefuseLeast() {
    Map<String, Supplier<AllowanceSimulation.Policy>> ways = new LinkedHashMap<>();
    ways.put("equal shares", AlternativePolicies::equalShares);
    ways.put("shares that follow demand", AlternativePolicies::demandShares);
    ways.put("leases from a home host", AlternativePolicies::homeLeases);
    ways.put("late sums", () -> AllowanceSimulation.DELAYED_SUMS);
    Map<String, Result> seen = new LinkedHashMap<>();
    ways.forEach((name, way) -> seen.put(name, measure(way)));
    seen.forEach(
        (name, each) ->
            System.out.printf(
                Locale.ROOT,
                "%-26s refused of the usual %.3f; of the bound: hot %.2f (granted %.2f of the"
                    + " limit), halves %.2f, one by one %.2f, all restarted %.2f%n",
                name,
                each.refusedAtUsualLoad,
                each.overload,
                each.overloadGranted,
                each.splitInHalves,
                each.isolatedHosts,
                each.restart));
    Result kept = requireNonNull(seen.get("late sums"));
    assertThat(kept.refusedAtUsualLoad).isLessThan(0.01);
    assertWithMessage("the worst window")
        .that(Math.max(Math.max(kept.overload, kept.splitInHalves), Math.max(kept.isolatedHosts, kept.restart)))
        .isAtMost(1.0);
  }
}
