package org.sequoiahub.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The times in which injected faults broke off whatever was in progress at a process or connection.
 * Times are readings of {@link System#nanoTime()}.
 */
final class Interruptions {

  private record Interval(long fromNanos, long untilNanos) {}

  private final List<Interval> intervals = new CopyOnWriteArrayList<>();

  /** Records an interruption. */
  void add(long fromNanos, long untilNanos) {
    intervals.add(new Interval(fromNanos, untilNanos));
  }

  /** Returns whether there was an interruption at some moment between two times, both included. */
  boolean anyBetween(long fromNanos, long untilNanos) {
    return intervals.stream()
        .anyMatch(
            interval ->
                interval.fromNanos - untilNanos <= 0 && fromNanos - interval.untilNanos <= 0);
  }
}
