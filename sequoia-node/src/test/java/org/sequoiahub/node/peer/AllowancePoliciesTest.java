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
  private static final double USUAL = 1 / 1.8;
  private static final double HOT = 7.5 * USUAL;

  /** What was seen of one way. */
  private record Seen(
      double refusedUsual,
      double hot,
      double hotGranted,
      double halves,
      double oneByOne,
      double restart) {}

  private static Seen play(Supplier<AllowanceWorld.Policy> policy) {
    AllowanceWorld usual = calm(policy.get());
    usual.countFromNow();
    usual.ask(20_000, USUAL);
    AllowanceWorld hot = calm(policy.get());
    hot.countAllFromNow();
    hot.ask(12_000, HOT);
    return new Seen(
        usual.refusedPart(),
        hot.worstWindow(),
        hot.grantedPart(),
        cut(policy.get(), 2),
        cut(policy.get(), 0),
        restart(policy.get()));
  }

  private static AllowanceWorld calm(AllowanceWorld.Policy policy) {
    AllowanceWorld world = new AllowanceWorld(11, HOSTS, policy);
    world.ask(JOIN_MILLIS, 0);
    world.ask(10_000, USUAL);
    return world;
  }

  /** Cuts the fleet into {@code parts}, or a third of it off one by one if that is 0. */
  private static double cut(AllowanceWorld.Policy policy, int parts) {
    AllowanceWorld world = calm(policy);
    world.peers.cut(
        (from, to) -> parts == 0 ? from % 3 == 0 || to % 3 == 0 : from % parts != to % parts);
    world.ask(1_500, USUAL);
    world.countAllFromNow();
    world.ask(8_000, HOT);
    return world.worstWindow();
  }

  private static double restart(AllowanceWorld.Policy policy) {
    AllowanceWorld world = calm(policy);
    world.countAllFromNow();
    world.ask(4_000, HOT);
    for (int number = 0; number < HOSTS; number++) {
      world.peers.kill(number);
    }
    world.peers.pass(700);
    for (int number = 0; number < HOSTS; number++) {
      world.restart(number);
    }
    world.ask(8_000, HOT);
    return world.worstWindow();
  }

  @Test
  void lateSumsKeepTheBoundAndRefuseLeast() {
    Map<String, Supplier<AllowanceWorld.Policy>> ways = new LinkedHashMap<>();
    ways.put("equal shares", OtherPolicies::equalShares);
    ways.put("shares that follow demand", OtherPolicies::demandShares);
    ways.put("leases from a home host", OtherPolicies::homeLeases);
    ways.put("late sums", () -> AllowanceWorld.LATE_SUMS);
    Map<String, Seen> seen = new LinkedHashMap<>();
    ways.forEach((name, way) -> seen.put(name, play(way)));
    seen.forEach(
        (name, each) ->
            System.out.printf(
                Locale.ROOT,
                "%-26s refused of the usual %.3f; of the bound: hot %.2f (granted %.2f of the"
                    + " limit), halves %.2f, one by one %.2f, all restarted %.2f%n",
                name,
                each.refusedUsual,
                each.hot,
                each.hotGranted,
                each.halves,
                each.oneByOne,
                each.restart));
    Seen kept = requireNonNull(seen.get("late sums"));
    assertThat(kept.refusedUsual).isLessThan(0.01);
    assertWithMessage("the worst window")
        .that(Math.max(Math.max(kept.hot, kept.halves), Math.max(kept.oneByOne, kept.restart)))
        .isAtMost(1.0);
  }
}
