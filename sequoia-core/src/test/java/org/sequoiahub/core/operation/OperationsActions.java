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

/** Events that the operation properties interleave, and the simulation that they act on. */
public final class OperationsActions {

  private OperationsActions() {}

  /** Returns random chains of events. */
  public static ActionChainArbitrary<?> chains() {
    return ActionChain.startWith(Simulation::new)
        .withAction(3, event("mint", 1, Simulation::mint))
        .withAction(8, event("call", 200, Simulation::call))
        .withAction(4, event("runPending", 20, Simulation::runPending))
        .withAction(4, event("answer", 20, Simulation::answer))
        .withAction(2, event("loseAnswer", 20, Simulation::loseAnswer))
        .withAction(2, event("refusedBeforeSent", 20, Simulation::refusedBeforeSent))
        .withAction(1, event("restart", 1, Simulation::restart))
        .withAction(2, event("pass", 900, (s, n) -> s.nowMillis += n))
        .withMaxTransformations(100);
  }

  private static Action<Simulation> event(
      String label, int max, ObjIntConsumer<Simulation> action) {
    return new Event(
        Arbitraries.integers()
            .between(0, max)
            .map(n -> Transformer.mutate(label + "(" + n + ")", s -> action.accept(s, n))));
  }

  private record Event(Arbitrary<Transformer<Simulation>> events)
      implements Action.Independent<Simulation> {
    @Override
    public Arbitrary<Transformer<Simulation>> transformer() {
      return events;
    }
  }

  /** Simulates two dispatchers, calls not yet sent, and an upstream that counts the runs. */
  static final class Simulation {
    private static final int MAX_OPERATIONS = 6;
    private static final long LIFETIME_MILLIS = 1_000;
    private final List<OperationTable<String>> tables = new ArrayList<>();
    private final List<OperationId> minted = new ArrayList<>();
    private final List<Decided> pending = new ArrayList<>();
    private final List<Decided> sent = new ArrayList<>();
    private final Map<OperationId, Integer> runs = new HashMap<>();
    private final Set<OperationId> answered = new HashSet<>();
    private long incarnations;
    private long nowMillis;

    Simulation() {
      tables.add(table(0));
      tables.add(table(1));
    }

    void mint(int dispatcher) {
      minted.addAll(tables.get(dispatcher).mint(2, nowMillis));
    }

    /** Delivers a call to either dispatcher; only the one that minted the id may run it. */
    void call(int n) {
      if (minted.isEmpty()) {
        return;
      }
      OperationId id = minted.get(n % minted.size());
      OperationTable<String> table = tables.get(n / 100 % 2);
      BeginDecision<String> begin = table.begin(id, nowMillis);
      if (begin instanceof BeginDecision.Run<String>) {
        pending.add(new Decided(table, id));
      } else if (begin instanceof BeginDecision.Refuse<String> refuse
          && refuse.verdict() instanceof Verdict.NotRun) {
        assertWithMessage("refused as not run although it ran: %s", id)
            .that(runs.getOrDefault(id, 0))
            .isEqualTo(0);
      } else if (begin instanceof BeginDecision.Replay<String> repeat) {
        assertWithMessage("response of another operation").that(repeat.answer()).isEqualTo("" + id);
      }
    }

    /** Lets the upstream run a pending call, at any time after the decision. */
    void runPending(int n) {
      take(pending, n)
          .ifPresent(
              decided -> {
                int times = runs.merge(decided.id, 1, Integer::sum);
                assertWithMessage("number of runs of %s", decided.id).that(times).isEqualTo(1);
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
      return new OperationTable<>("host-" + host, ++incarnations, LIFETIME_MILLIS, MAX_OPERATIONS);
    }

    private static Optional<Decided> take(List<Decided> calls, int n) {
      return calls.isEmpty() ? Optional.empty() : Optional.of(calls.remove(n % calls.size()));
    }

    private record Decided(OperationTable<String> table, OperationId id) {}
  }
}
