package org.sequoiahub.node.call;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.upstream.RunnerEntry;

/** Tracks when the demand of the waiting requests must be reported to the runners' holders. */
final class WaitingDemands {

  /**
   * Longest interval between two reports of the demand while requests wait (ms), as a report goes
   * stale; each change is reported at once.
   */
  private static final long REPORT_INTERVAL_MILLIS = 60;

  private int waitingCount;
  private boolean changed;
  private boolean relocationsReported;

  /** When the demand was last evaluated, and reported unless there was none (ms). */
  private long checkedMillis;

  /** Records that a request begins to wait at a runner. */
  void recordBegin() {
    waitingCount++;
    changed = true;
  }

  /** Records that a request no longer waits. */
  void recordEnd() {
    waitingCount--;
    changed = true;
  }

  boolean isAnyWaiting() {
    return waitingCount > 0;
  }

  /**
   * Returns the demand of waiting requests, by runner id, if it must be reported now.
   *
   * @param relocationSource returns the demand for adapters that no request waits for, which is
   *     added
   */
  Optional<Map<String, List<Demand>>> takeIfDue(
      Collection<Call> calls,
      Supplier<Map<String, List<Demand>>> relocationSource,
      long nowMillis) {
    if (!changed && nowMillis - checkedMillis < REPORT_INTERVAL_MILLIS) {
      return Optional.empty();
    }
    checkedMillis = nowMillis;
    Map<String, List<Demand>> relocations = relocationSource.get();
    boolean any = waitingCount > 0 || !relocations.isEmpty();
    boolean relocationsEnded = relocations.isEmpty() && relocationsReported;
    if (!changed && !any && !relocationsEnded) {
      return Optional.empty();
    }
    changed = false;
    relocationsReported = !relocations.isEmpty();
    Map<String, List<Demand>> demands = waitingDemands(calls, nowMillis);
    relocations.forEach(
        (runner, list) ->
            demands.merge(
                runner,
                list,
                (waiting, added) -> Stream.concat(waiting.stream(), added.stream()).toList()));
    return Optional.of(demands);
  }

  private static Map<String, List<Demand>> waitingDemands(Collection<Call> calls, long nowMillis) {
    Map<String, Map<String, Demand>> byRunner = new HashMap<>();
    for (Call call : calls) {
      RunnerEntry runner = call.waitingAt;
      Generation generation = call.generation;
      if (runner != null && generation != null) {
        int inTime = nowMillis < call.targetMillis() ? 1 : 0;
        Demand demand =
            new Demand(generation.model(), generation.adapter(), 1, inTime, call.priority());
        byRunner
            .computeIfAbsent(runner.id(), id -> new HashMap<>())
            .merge(demand.target(), demand, Demand::plus);
      }
    }
    Map<String, List<Demand>> demands = new HashMap<>();
    byRunner.forEach((runner, list) -> demands.put(runner, List.copyOf(list.values())));
    return demands;
  }
}
