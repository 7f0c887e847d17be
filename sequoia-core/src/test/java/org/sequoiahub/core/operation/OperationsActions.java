package org.sequoiahub.core.operation;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;
import org.sequoiahub.core.verdict.Verdict;

/** The events that the property interleaves, and the world they happen in. */
public final class OperationsActions {

  private OperationsActions() {}

  /** Returns chains of events. */
  public static ActionChainArbitrary<?> chains() {
    return ActionChain.startWith(Simulation::new)
        .withAction(3, event("mint", 1, Simulation::mint))
        .withAction(8, event("call", 200, Simulation::call))
        .withAction(4, event("runPending", 20, Simulation::runPending))
        .withAction(4, event("answer", 20, Simulation::answer))
        .withAction(2, event("loseAnswer", 20, Simulation::loseAnswer))
        .withAction(2, event("refusedBeforeSent", 20, Simulation::refusedBeforeSent))
        .withAction(1, event("restart", 1, Simulation::restart))
        .withAction(2, event("pass", 900, (f, n) -> f.now += n))
        .withMaxTransformations(100);
  }

  private static Action<Simulation> event(
      String label, int max, ObjIntConsumer<Simulation> happen) {
    return new Event(
        Arbitraries.integers()
            .between(0, max)
            .map(n -> Transformer.mutate(label + "(" + n + ")", f -> happen.accept(f, n))));
  }

  private record Event(Arbitrary<Transformer<Simulation>> events)
      implements Action.Independent<Simulation> {
    @Override
    public Arbitrary<Transformer<Simulation>> transformer() {
      return events;
    }
  }

  /** Two dispatchers, the upstream that counts, and calls that are decided but not yet sent. */
  static final class Simulation {
    private static final int LIMIT = 6;
    private static final long LIFETIME = 1_000;
    private final List<OperationTable<String>> tables = new ArrayList<>();
    private final List<OperationId> minted = new ArrayList<>();
    private final List<Decided> pending = new ArrayList<>();
    private final List<Decided> sent = new ArrayList<>();
    private final Map<OperationId, Integer> runs = new HashMap<>();
    private final Set<OperationId> answered = new HashSet<>();
    private long incarnations;
    private long now;

    Simulation() {
      tables.add(table(0));
      tables.add(table(1));
    }

    void mint(int dispatcher) {
      minted.addAll(tables.get(dispatcher).mint(2, now));
    }

    /** A caller's call reaches either dispatcher; the wrong one must not run it. */
    void call(int n) {
      if (minted.isEmpty()) {
        return;
      }
      OperationId id = minted.get(n % minted.size());
      OperationTable<String> table = tables.get(n / 100 % 2);
      BeginDecision<String> begin = table.begin(id, now);
      if (begin instanceof BeginDecision.Run<String>) {
        pending.add(new Decided(table, id));
      } else if (begin instanceof BeginDecision.Refuse<String> refuse
          && refuse.verdict() instanceof Verdict.NotRun) {
        assertWithMessage("told not-run although it ran: %s", id)
            .that(runs.getOrDefault(id, 0))
            .isEqualTo(0);
      } else if (begin instanceof BeginDecision.Replay<String> repeat) {
        assertWithMessage("another operation's answer").that(repeat.answer()).isEqualTo("" + id);
      }
    }

    /** The upstream runs a call, however long after the decision. */
    void runPending(int n) {
      take(pending, n)
          .ifPresent(
              decided -> {
                int times = runs.merge(decided.id, 1, Integer::sum);
                assertWithMessage("runs of %s", decided.id).that(times).isEqualTo(1);
                sent.add(decided);
              });
    }

    void answer(int n) {
      take(sent, n)
          .ifPresent(
              decided -> {
                decided.table.completed(decided.id, "" + decided.id);
                answered.add(decided.id);
              });
    }

    void loseAnswer(int n) {
      take(sent, n).ifPresent(decided -> decided.table.outcomeUnknown(decided.id));
    }

    void refusedBeforeSent(int n) {
      take(pending, n).ifPresent(decided -> decided.table.notRun(decided.id));
    }

    void restart(int dispatcher) {
      tables.set(dispatcher, table(dispatcher));
    }

    private OperationTable<String> table(int host) {
      return new OperationTable<>("host-" + host, ++incarnations, LIFETIME, LIMIT);
    }

    private static Optional<Decided> take(List<Decided> from, int n) {
      return from.isEmpty() ? Optional.empty() : Optional.of(from.remove(n % from.size()));
    }

    private record Decided(OperationTable<String> table, OperationId id) {}
  }
}
