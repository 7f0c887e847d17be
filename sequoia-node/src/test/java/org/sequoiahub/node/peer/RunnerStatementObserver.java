package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the calls that arrive at runners which state that they leave or want a backoff, as the
 * users would, for each host that received such a statement.
 */
final class RunnerStatementObserver {

  static final long DRAIN_MILLIS = 2_000;

  /** Time for which calls that are under way may arrive after a backoff was stated (ms). */
  private static final long UNDER_WAY_MILLIS = 500;

  /** Calls that may arrive within a backoff after that time. */
  private static final int ALLOWED_IN_BACKOFF = 2;

  private final Map<String, List<Arrival>> arrivals = new HashMap<>();
  private final List<Told> leaving = new ArrayList<>();
  private final List<Told> backoffs = new ArrayList<>();
  private final List<Period> excused = new ArrayList<>();

  private record Arrival(int host, long atMillis) {}

  private record Told(String runner, int host, long atMillis, long untilMillis) {}

  private record Period(int host, long fromMillis, long toMillis) {}

  void arrived(String runner, int host, long atMillis) {
    arrivals.computeIfAbsent(runner, r -> new ArrayList<>()).add(new Arrival(host, atMillis));
  }

  /** A host received a response that states that its runner leaves. */
  void toldLeaving(String runner, int host, long atMillis) {
    boolean known = leaving.stream().anyMatch(t -> t.host == host && t.runner.equals(runner));
    if (!known) {
      leaving.add(new Told(runner, host, atMillis, Long.MAX_VALUE));
    }
  }

  /** A host received a refusal that states a backoff. */
  void toldBackoff(String runner, int host, long atMillis, long untilMillis) {
    backoffs.add(new Told(runner, host, atMillis, untilMillis));
  }

  /** A host was restarted, frozen or cut off in this period. */
  void excuse(int host, long fromMillis, long toMillis) {
    excused.add(new Period(host, fromMillis, toMillis));
  }

  /** Returns the calls that reached leaving runners too late, as text. */
  List<String> callsAfterDrain() {
    return leaving.stream()
        .flatMap(
            told ->
                callsTo(told.runner).stream()
                    .filter(call -> call.host == told.host)
                    .filter(call -> call.atMillis > told.atMillis + DRAIN_MILLIS)
                    .filter(call -> !isExcused(told, call.atMillis))
                    .map(call -> told + " got " + call))
        .toList();
  }

  /** Returns the backoffs within which too many calls arrived, as text. */
  List<String> brokenBackoffs() {
    List<String> broken = new ArrayList<>();
    for (Told told : backoffs) {
      long calls =
          callsTo(told.runner).stream()
              .filter(call -> call.host == told.host)
              .filter(call -> call.atMillis > told.atMillis + UNDER_WAY_MILLIS)
              .filter(call -> call.atMillis < told.untilMillis)
              .count();
      if (calls > ALLOWED_IN_BACKOFF && !isExcused(told, told.untilMillis)) {
        broken.add(told + " got " + calls + " calls");
      }
    }
    return broken;
  }

  /** Returns the calls of all hosts to a runner since a time. */
  long callsSince(String runner, long fromMillis) {
    return callsTo(runner).stream().filter(call -> call.atMillis >= fromMillis).count();
  }

  /** Returns how many statements of both kinds were received. */
  int toldCount() {
    return leaving.size() + backoffs.size();
  }

  private List<Arrival> callsTo(String runner) {
    return arrivals.getOrDefault(runner, List.of());
  }

  private boolean isExcused(Told told, long untilMillis) {
    return excused.stream()
        .anyMatch(
            period ->
                period.host == told.host
                    && period.fromMillis <= untilMillis
                    && period.toMillis >= told.atMillis);
  }
}
