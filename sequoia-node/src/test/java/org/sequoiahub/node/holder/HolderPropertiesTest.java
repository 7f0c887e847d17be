package org.sequoiahub.node.holder;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Sets;
import java.util.Set;
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
import org.junit.jupiter.api.Test;

/**
 * Guards against orders sent with a lease that another host holds by then: two hosts send orders to
 * one runner within the lease time, a new holder uses a token that is not higher than the previous
 * one, or a runner crashes because it was ordered to hold too many adapters.
 *
 * <p>Hosts are paused, disconnected from each other, killed one by one and all at once, and shut
 * down; runners restart at the same and at other addresses; datagrams and replies to orders are
 * lost and delayed.
 */
class HolderPropertiesTest {

  @BeforeTry
  void silenceLogging() {
    Logger.getLogger("org.sequoiahub").setLevel(Level.OFF);
  }

  @Property(tries = 150, seed = "20261220")
  void runnerNeverHasTwoHolders(@ForAll("chains") ActionChain<HolderSimulation> chain) {
    HolderSimulation simulation = chain.run();
    for (int host = 0; host < HolderSimulation.HOSTS; host++) {
      simulation.resume(host);
      simulation.reconnect(host);
      simulation.restoreLinksToRunners(host);
    }
    simulation.advanceTime(12_000);
    int orders = simulation.ordersWithin(4_000);
    assertThat(orders).isGreaterThan(0);
  }

  /** Guards against runners without orders because their holder has lost its links to them. */
  @Test
  void hostsWithoutLinksGiveUpTheirRunners() {
    for (long seed = 1; seed <= 20; seed++) {
      HolderSimulation simulation = new HolderSimulation(seed, true);
      simulation.advanceTime(6_000);
      Set<Integer> cut = simulation.orderingHosts();
      assertThat(cut).isNotEmpty();
      if (cut.size() == HolderSimulation.HOSTS) {
        cut.remove(0);
      }
      cut.forEach(simulation::cutFromRunners);
      simulation.advanceTime(8_000);
      int orders = simulation.ordersWithin(4_000);
      assertWithMessage("hosts that order, of which %s are cut off", cut)
          .that(Sets.intersection(simulation.orderingHosts(), cut))
          .isEmpty();
      assertThat(orders).isGreaterThan(0);
    }
  }

  @Provide
  Arbitrary<ActionChain<HolderSimulation>> chains() {
    return ActionChain.startWith(() -> new HolderSimulation(7, true))
        .withAction(
            12,
            numberedAction(
                "advanceTime", 1_500, (simulation, millis) -> simulation.advanceTime(50 + millis)))
        .withAction(2, hostAction("pause", HolderSimulation::pause))
        .withAction(4, hostAction("resume", HolderSimulation::resume))
        .withAction(2, hostAction("disconnect", HolderSimulation::disconnect))
        .withAction(4, hostAction("reconnect", HolderSimulation::reconnect))
        .withAction(2, hostAction("cutFromRunners", HolderSimulation::cutFromRunners))
        .withAction(4, hostAction("restoreLinksToRunners", HolderSimulation::restoreLinksToRunners))
        .withAction(2, hostAction("kill", HolderSimulation::kill))
        .withAction(2, hostAction("shutDown", HolderSimulation::shutDown))
        .withAction(1, Action.just(Transformer.mutate("killAll", HolderSimulation::killAll)))
        .withAction(
            1,
            numberedAction(
                "restartRunner",
                2 * HolderSimulation.RUNNERS - 1,
                (simulation, n) -> simulation.restartRunner(n / 2, n % 2 == 0)))
        .withAction(
            1,
            numberedAction(
                "restartRunnerWithSameId",
                HolderSimulation.RUNNERS - 1,
                HolderSimulation::restartRunnerWithSameId))
        .withMaxTransformations(40);
  }

  private static Action<HolderSimulation> hostAction(
      String label, BiConsumer<HolderSimulation, Integer> event) {
    return numberedAction(label, HolderSimulation.HOSTS - 1, event);
  }

  private static Action<HolderSimulation> numberedAction(
      String label, int max, BiConsumer<HolderSimulation, Integer> event) {
    return new Event(
        Arbitraries.integers()
            .between(0, max)
            .map(
                n ->
                    Transformer.mutate(
                        label + "(" + n + ")", simulation -> event.accept(simulation, n))));
  }

  private record Event(Arbitrary<Transformer<HolderSimulation>> events)
      implements Action.Independent<HolderSimulation> {
    @Override
    public Arbitrary<Transformer<HolderSimulation>> transformer() {
      return events;
    }
  }
}
