package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the calls that arrive at runners with a rate limit, as the users would.
 *
 * <p>From 3 s after a runner first stated a limit, no window of 4 s may hold more than 1.5 times
 * what the limit allows and 5 calls, summed over the hosts that were told half a second before or
 * earlier. A host that was restarted, frozen or cut off within 3 s is excused.
 */
final class RunnerLimitObserver {

  private static final long WINDOW_MILLIS = 4_000;
  private static final long LEARNING_MILLIS = 3_000;
  private static final long TOLD_MILLIS = 500;
  private static final long EXCUSED_MILLIS = 3_000;
  private static final double FACTOR = 1.5;
  private static final double SLACK = 5;

  private final Map<String, TreeMap<Long, Double>> limits = new HashMap<>();
  private final Map<String, List<Arrival>> arrivals = new HashMap<>();
  private final Map<String, Map<Integer, Long>> told = new HashMap<>();
  private final Map<Integer, List<Period>> excused = new HashMap<>();

  private record Period(long fromMillis, long toMillis) {}

  private record Arrival(long atMillis, int host) {}

  /** A window with the most calls relative to what is allowed. */
  record Worst(String runner, long endMillis, int calls, double allowed) {
    double ratio() {
      return calls / allowed;
    }
  }

  void limitStated(String runner, double perSecond, long nowMillis) {
    TreeMap<Long, Double> stated = limits.computeIfAbsent(runner, r -> new TreeMap<>());
    Map.Entry<Long, Double> before = stated.lastEntry();
    if (before == null || before.getValue() < 0) {
      // A late response of an earlier period tells nobody of this one.
      told.remove(runner);
    }
    stated.put(nowMillis, perSecond);
  }

  void arrived(String runner, int host, long atMillis) {
    arrivals.computeIfAbsent(runner, r -> new ArrayList<>()).add(new Arrival(atMillis, host));
  }

  /** A host received a response that stated a limit. */
  void told(String runner, int host, long atMillis) {
    told.computeIfAbsent(runner, r -> new HashMap<>()).putIfAbsent(host, atMillis);
  }

  /** A host was restarted, frozen or cut off in this period. */
  void excuse(int host, long fromMillis, long toMillis) {
    excused.computeIfAbsent(host, h -> new ArrayList<>()).add(new Period(fromMillis, toMillis));
  }

  /** Returns the calls to a runner in a period. */
  long calls(String runner, long fromMillis, long toMillis) {
    return arrivals.getOrDefault(runner, List.of()).stream()
        .filter(arrival -> arrival.atMillis >= fromMillis && arrival.atMillis < toMillis)
        .count();
  }

  /**
   * Returns the worst window since a time.
   *
   * @param all whether to count all hosts, also excused ones and those that were not told
   */
  Worst worst(boolean all, long fromMillis) {
    Worst worst = new Worst("none", 0, 0, 1);
    for (Map.Entry<String, TreeMap<Long, Double>> entry : limits.entrySet()) {
      List<Arrival> calls = arrivals.getOrDefault(entry.getKey(), List.of());
      for (Arrival last : calls) {
        if (last.atMillis < fromMillis || !isBinding(entry.getValue(), last.atMillis)) {
          continue;
        }
        int count = 0;
        for (Arrival arrival : calls) {
          boolean inWindow =
              arrival.atMillis > last.atMillis - WINDOW_MILLIS && arrival.atMillis <= last.atMillis;
          count += inWindow && (all || counts(entry.getKey(), arrival)) ? 1 : 0;
        }
        double allowed = allowed(entry.getValue(), last.atMillis);
        if (count / allowed > worst.ratio()) {
          worst = new Worst(entry.getKey(), last.atMillis, count, allowed);
        }
      }
    }
    return worst;
  }

  private boolean counts(String runner, Arrival arrival) {
    Long since = told.getOrDefault(runner, Map.of()).get(arrival.host);
    if (since == null || since > arrival.atMillis - TOLD_MILLIS) {
      return false;
    }
    for (Period period : excused.getOrDefault(arrival.host, List.of())) {
      if (arrival.atMillis >= period.fromMillis
          && arrival.atMillis < period.toMillis + EXCUSED_MILLIS) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a limit has been stated without interruption for the learning time. */
  private static boolean isBinding(TreeMap<Long, Double> stated, long atMillis) {
    Map.Entry<Long, Double> current = stated.floorEntry(atMillis);
    while (current != null && current.getValue() >= 0) {
      if (current.getKey() <= atMillis - LEARNING_MILLIS) {
        return true;
      }
      current = stated.lowerEntry(current.getKey());
    }
    return false;
  }

  /** Returns what is allowed in the window that ends at a time. */
  private static double allowed(TreeMap<Long, Double> stated, long endMillis) {
    double sum = 0;
    long step = 10;
    for (long at = endMillis - WINDOW_MILLIS; at < endMillis; at += step) {
      double now = valueAt(stated, at);
      double before = valueAt(stated, at - TOLD_MILLIS);
      sum += Math.max(now, before) * step / 1_000;
    }
    return FACTOR * sum + SLACK;
  }

  /** Returns the limit at a time; the first one that was stated for the time before it. */
  private static double valueAt(TreeMap<Long, Double> stated, long atMillis) {
    Map.Entry<Long, Double> entry = stated.floorEntry(atMillis);
    if (entry == null || entry.getValue() < 0) {
      entry = stated.higherEntry(atMillis);
    }
    return entry == null ? 0 : Math.max(0, entry.getValue());
  }
}
