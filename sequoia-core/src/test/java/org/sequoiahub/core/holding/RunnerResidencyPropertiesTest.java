package org.sequoiahub.core.holding;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Guards against a runner that crashes because it is ordered to load more adapters than it has
 * places, and against unloading an adapter under a running request, for example because a place is
 * considered empty although the outcome of its order is unknown.
 *
 * <p>Replies are lost, including those of accepted orders; unloads wait for running requests;
 * reports are late; requests start and finish; versions are published; the runner rejects orders.
 */
class RunnerResidencyPropertiesTest {

  private static final int MAX_TARGET = 14;

  @Property(tries = 3_000, seed = "20261210")
  void neverOrdersMoreThanPlaces(@ForAll("chains") ActionChain<ResidencyWorld> chain) {
    chain.run().awaitAllDemands();
  }

  @Provide
  Arbitrary<ActionChain<ResidencyWorld>> chains() {
    return ActionChain.startWith(ResidencyWorld::new)
        .withAction(8, onTarget("demand", ResidencyWorld::demand))
        .withAction(3, onTarget("start", ResidencyWorld::start))
        .withAction(4, onTarget("finish", ResidencyWorld::finish))
        .withAction(1, onTarget("publish", ResidencyWorld::publish))
        .withAction(10, just("sendNextOrder", ResidencyWorld::sendNextOrder))
        .withAction(2, just("sendNextOrderAndLoseReply", ResidencyWorld::sendNextOrderAndLoseReply))
        .withAction(2, just("rejectNextOrder", ResidencyWorld::rejectNextOrder))
        .withAction(4, just("report", ResidencyWorld::report))
        .withAction(8, advance())
        .withMaxTransformations(80);
  }

  private static Action<ResidencyWorld> just(String label, Consumer<ResidencyWorld> event) {
    return Action.just(Transformer.mutate(label, event));
  }

  private static Action<ResidencyWorld> onTarget(
      String label, BiConsumer<ResidencyWorld, String> event) {
    return new Event(
        Arbitraries.integers()
            .between(1, MAX_TARGET)
            .map(
                n ->
                    Transformer.mutate(label + " a" + n, world -> event.accept(world, "m/a" + n))));
  }

  private static Action<ResidencyWorld> advance() {
    return new Event(
        Arbitraries.longs()
            .between(1, 900)
            .map(
                millis -> Transformer.mutate("advance " + millis, world -> world.advance(millis))));
  }

  private record Event(Arbitrary<Transformer<ResidencyWorld>> events)
      implements Action.Independent<ResidencyWorld> {
    @Override
    public Arbitrary<Transformer<ResidencyWorld>> transformer() {
      return events;
    }
  }
}
