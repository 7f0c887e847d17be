package org.sequoiahub.core.runner;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/** Generates the event sequences of the runner's property tests. */
public final class RunnerActions {

  private RunnerActions() {}

  /**
   * Returns sequences of events.
   *
   * @param fenced whether the engine checks fencing numbers
   */
  public static ActionChainArbitrary<?> chains(boolean fenced) {
    return ActionChain.startWith(() -> new RunnerWorld(fenced))
        .withAction(6, two("offer", 1, 2, (w, h, a) -> w.offer(h, a, a == 2)))
        .withAction(8, one("tick", 1, RunnerWorld::tick))
        .withAction(16, one("deliver", 6, RunnerWorld::deliver))
        .withAction(1, one("loseMessage", 6, RunnerWorld::loseMessage))
        .withAction(2, one("breakConnection", 6, RunnerWorld::breakConnection))
        .withAction(6, one("advance", 400, RunnerWorld::advance))
        .withAction(3, one("finish", 5, RunnerWorld::finish))
        .withAction(1, two("cancel", 1, 20, RunnerWorld::cancel))
        .withAction(1, one("pause", 1, RunnerWorld::pause))
        .withAction(2, one("wake", 1, RunnerWorld::wake))
        .withAction(1, one("runWithoutFaults", 1, RunnerWorld::runWithoutFaults))
        .withAction(1, one("unloadsFail", 1, (w, n) -> w.unloadsFail(n == 1)))
        .withAction(1, one("kill", 1, RunnerWorld::kill))
        .withAction(2, one("restartGranter", 2, RunnerWorld::restartGranter))
        .withAction(1, just("coldRestart", RunnerWorld::coldRestart))
        .withAction(1, one("loadsFail", 1, (w, n) -> w.loadsFail(n == 1)))
        .withMaxTransformations(120);
  }

  /** Ends all faults and checks the invariants that must hold afterwards. */
  public static void finish(Object world) {
    ((RunnerWorld) world).settle();
  }

  private static Action<RunnerWorld> just(String label, Consumer<RunnerWorld> event) {
    return Action.just(Transformer.mutate(label, event));
  }

  private static Action<RunnerWorld> one(
      String label, int max, BiConsumer<RunnerWorld, Integer> event) {
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, max);
    return new Event(
        numbers.map(n -> Transformer.mutate(label + "(" + n + ")", w -> event.accept(w, n))));
  }

  private static Action<RunnerWorld> two(String label, int maxA, int maxB, TwoNumbers event) {
    return new Event(
        Combinators.combine(
                Arbitraries.integers().between(0, maxA), Arbitraries.integers().between(0, maxB))
            .as(
                (a, b) ->
                    Transformer.mutate(
                        label + "(" + a + ", " + b + ")", w -> event.apply(w, a, b))));
  }

  @FunctionalInterface
  private interface TwoNumbers {
    void apply(RunnerWorld world, int a, int b);
  }

  private record Event(Arbitrary<Transformer<RunnerWorld>> events)
      implements Action.Independent<RunnerWorld> {
    @Override
    public Arbitrary<Transformer<RunnerWorld>> transformer() {
      return events;
    }
  }
}
