package org.sequoiahub.node.holder;

import static com.google.common.truth.Truth.assertThat;

import java.util.function.BiConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.BeforeTry;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Symptom: two hosts order one runner within the lease time, or one gives a smaller number after a
 * larger one; a runner crashes because it was ordered to hold too much.
 *
 * <p>Events: hosts are paused, cut off from each other, killed one by one and all at once, and
 * leave in order; runners restart at their address and at others; datagrams are lost and late,
 * replies to orders too.
 *
 * <p>Cause looked for: an order given on a right that somebody else has by now.
 */
class HolderPropertiesTest {

  @BeforeTry
  void quiet() {
    Logger.getLogger("org.sequoiahub").setLevel(Level.OFF);
  }

  @Property(tries = 150, seed = "20261220")
  void runnerHasOneHolderAtATime(@ForAll("chains") ActionChain<HolderSimulation> chain) {
    HolderSimulation world = chain.run();
    for (int host = 0; host < HolderSimulation.HOSTS; host++) {
      world.resume(host);
      world.reconnect(host);
    }
    world.advanceTime(12_000);
    int before = world.orderCount();
    world.advanceTime(4_000);
    assertThat(world.orderCount()).isGreaterThan(before);
  }

  @Provide
  Arbitrary<ActionChain<HolderSimulation>> chains() {
    return ActionChain.startWith(() -> new HolderSimulation(7, true))
        .withAction(12, number("pass", 1_500, (world, millis) -> world.advanceTime(50 + millis)))
        .withAction(2, host("pause", HolderSimulation::pause))
        .withAction(4, host("wake", HolderSimulation::resume))
        .withAction(2, host("cut", HolderSimulation::disconnect))
        .withAction(4, host("heal", HolderSimulation::reconnect))
        .withAction(2, host("kill", HolderSimulation::kill))
        .withAction(2, host("leave", HolderSimulation::shutDown))
        .withAction(1, Action.just(Transformer.mutate("killAll", HolderSimulation::killAll)))
        .withAction(
            1,
            number(
                "restartRunner",
                2 * HolderSimulation.RUNNERS - 1,
                (world, n) -> world.restartRunner(n / 2, n % 2 == 0)))
        .withAction(
            1,
            number(
                "restartRunnerUnderItsId",
                HolderSimulation.RUNNERS - 1,
                HolderSimulation::restartRunnerWithSameId))
        .withMaxTransformations(40);
  }

  private static Action<HolderSimulation> host(
      String label, BiConsumer<HolderSimulation, Integer> event) {
    return number(label, HolderSimulation.HOSTS - 1, event);
  }

  private static Action<HolderSimulation> number(
      String label, int max, BiConsumer<HolderSimulation, Integer> event) {
    return new Event(
        Arbitraries.integers()
            .between(0, max)
            .map(n -> Transformer.mutate(label + "(" + n + ")", world -> event.accept(world, n))));
  }

  private record Event(Arbitrary<Transformer<HolderSimulation>> events)
      implements Action.Independent<HolderSimulation> {
    @Override
    public Arbitrary<Transformer<HolderSimulation>> transformer() {
      return events;
    }
  }
}
