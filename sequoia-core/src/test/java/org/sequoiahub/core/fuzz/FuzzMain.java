package org.sequoiahub.core.fuzz;

import java.util.Iterator;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.sessions.JqwikSession;
import net.jqwik.api.state.ActionChain;
import org.sequoiahub.core.config.WatchersActions;
import org.sequoiahub.core.operation.OperationsActions;
import org.sequoiahub.core.runner.RunnerActions;

/**
 * Runs the stateful properties with successive seeds for a given time, and prints the seed and the
 * shrunk sequence of events of the first failure.
 */
public final class FuzzMain {

  private static final int GENERATION_SIZE = 1_000;
  private static final int CHAINS_PER_SEED = 200;
  private static final int MAX_SHRINK_ATTEMPTS = 2_000;

  private FuzzMain() {}

  /**
   * Runs the properties and exits with status 1 at the first failure.
   *
   * @param arguments the time to run in seconds, and the first seed
   */
  public static void main(String[] arguments) {
    long deadlineNanos = System.nanoTime() + Long.parseLong(arguments[0]) * 1_000_000_000L;
    long seed = Long.parseLong(arguments[1]);
    long chains = 0;
    while (System.nanoTime() < deadlineNanos) {
      for (Target target : Target.values()) {
        if (!run(target, seed)) {
          System.exit(1);
        }
        chains += CHAINS_PER_SEED;
      }
      seed++;
    }
    System.out.println("fuzz chains=" + chains + " last_seed=" + (seed - 1) + " failures=0");
  }

  /** A stateful property to fuzz. */
  private enum Target {
    FENCED(RunnerActions.chains(true), RunnerActions::finish),
    UNFENCED(RunnerActions.chains(false), RunnerActions::finish),
    WATCHERS(WatchersActions.chains(), WatchersActions::finish),
    OPERATIONS(OperationsActions.chains(), state -> {});

    private final Arbitrary<?> arbitrary;
    private final Consumer<Object> finish;

    Target(Arbitrary<?> arbitrary, Consumer<Object> finish) {
      this.arbitrary = arbitrary;
      this.finish = finish;
    }
  }

  private static boolean run(Target target, long seed) {
    boolean[] passed = {true};
    JqwikSession.run(
        () -> {
          RandomGenerator<?> generator = target.arbitrary.generator(GENERATION_SIZE);
          Random random = new Random(seed);
          for (int i = 0; i < CHAINS_PER_SEED && passed[0]; i++) {
            Shrinkable<?> chain = generator.next(random);
            Optional<Throwable> failure = failure(target, chain);
            if (failure.isPresent()) {
              passed[0] = false;
              report(target, seed, chain);
            }
          }
        });
    return passed[0];
  }

  private static void report(Target target, long seed, Shrinkable<?> failing) {
    Shrinkable<?> simplest = failing;
    int attempts = 0;
    boolean shrunk = true;
    while (shrunk && attempts < MAX_SHRINK_ATTEMPTS) {
      shrunk = false;
      Iterator<? extends Shrinkable<?>> candidates = simplest.shrink().iterator();
      while (candidates.hasNext() && attempts++ < MAX_SHRINK_ATTEMPTS) {
        Shrinkable<?> candidate = candidates.next();
        if (failure(target, candidate).isPresent()) {
          simplest = candidate;
          shrunk = true;
          break;
        }
      }
    }
    ActionChain<?> chain = (ActionChain<?>) simplest.value();
    String message = "";
    try {
      target.finish.accept(chain.run());
    } catch (Throwable e) {
      message = String.valueOf(e.getMessage());
    }
    System.out.println("fuzz failure target=" + target + " seed=" + seed);
    System.out.println("  sequence: " + chain.transformations());
    System.out.println("  " + message.replace("\n", "\n  "));
  }

  private static Optional<Throwable> failure(Target target, Shrinkable<?> shrinkable) {
    try {
      target.finish.accept(((ActionChain<?>) shrinkable.value()).run());
      return Optional.empty();
    } catch (Throwable e) {
      return Optional.of(e);
    }
  }
}
