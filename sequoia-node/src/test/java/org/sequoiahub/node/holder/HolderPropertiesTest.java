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
  void oneHolderAtTime(@ForAll("chains") ActionChain<HolderWorld> chain) {
    HolderWorld world = chain.run();
    for (int host = 0; host < HolderWorld.HOSTS; host++) {
      world.wake(host);
      world.heal(host);
    }
    world.pass(12_000);
    int before = world.orders();
    world.pass(4_000);
    assertThat(world.orders()).isGreaterThan(before);
  }

  @Provide
  Arbitrary<ActionChain<HolderWorld>> chains() {
    return ActionChain.startWith(() -> new HolderWorld(7, true))
        .withAction(12, number("pass", 1_500, (world, millis) -> world.pass(50 + millis)))
        .withAction(2, host("pause", HolderWorld::pause))
        .withAction(4, host("wake", HolderWorld::wake))
        .withAction(2, host("cut", HolderWorld::cut))
        .withAction(4, host("heal", HolderWorld::heal))
        .withAction(2, host("kill", HolderWorld::kill))
        .withAction(2, host("leave", HolderWorld::leave))
        .withAction(1, Action.just(Transformer.mutate("killAll", HolderWorld::killAll)))
        .withAction(
            1,
            number(
                "restartRunner",
                2 * HolderWorld.RUNNERS - 1,
                (world, n) -> world.restartRunner(n / 2, n % 2 == 0)))
        .withAction(
            1,
            number(
                "restartRunnerUnderItsId",
                HolderWorld.RUNNERS - 1,
                HolderWorld::restartRunnerUnderItsId))
        .withMaxTransformations(40);
  }

  private static Action<HolderWorld> host(String label, BiConsumer<HolderWorld, Integer> event) {
    return number(label, HolderWorld.HOSTS - 1, event);
  }

  private static Action<HolderWorld> number(
      String label, int max, BiConsumer<HolderWorld, Integer> event) {
    return new Event(
        Arbitraries.integers()
            .between(0, max)
            .map(n -> Transformer.mutate(label + "(" + n + ")", world -> event.accept(world, n))));
  }

  private record Event(Arbitrary<Transformer<HolderWorld>> events)
      implements Action.Independent<HolderWorld> {
    @Override
    public Arbitrary<Transformer<HolderWorld>> transformer() {
      return events;
    }
  }
}
