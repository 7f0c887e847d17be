package org.sequoiahub.standins;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts the outcomes of the calls of a {@link LoadGenerator} and records latencies. Thread-safe.
 */
final class LoadStats {

  private static final long MAX_MICROS = 600_000_000L;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private final Histogram total = new Histogram(MAX_MICROS, 3);
  private final Histogram firstByte = new Histogram(MAX_MICROS, 3);
  private final Map<String, Integer> counts = new TreeMap<>();
  private long lastCompleteNanos;
  private long longestGapNanos;

  synchronized void count(String outcome) {
    counts.merge(outcome, 1, Integer::sum);
  }

  /** Counts a complete response and records its latencies. */
  synchronized void recordComplete(long totalNanos, long firstNanos, long nowNanos) {
    count("whole");
    total.recordValue(Math.min(MAX_MICROS, totalNanos / 1_000));
    firstByte.recordValue(Math.min(MAX_MICROS, firstNanos / 1_000));
    if (lastCompleteNanos != 0) {
      longestGapNanos = Math.max(longestGapNanos, nowNanos - lastCompleteNanos);
    }
    lastCompleteNanos = nowNanos;
  }

  synchronized int countOf(String outcome) {
    return counts.getOrDefault(outcome, 0);
  }

  /** Returns the counts, the latencies and the longest gap between complete responses. */
  synchronized String summary() {
    StringBuilder line = new StringBuilder();
    counts.forEach((outcome, n) -> line.append(outcome).append('=').append(n).append(' '));
    line.append(
        String.format(
            Locale.ROOT,
            "first_p50_ms=%.2f first_p99_ms=%.2f total_p50_ms=%.2f total_p99_ms=%.2f"
                + " longest_gap_ms=%.0f",
            firstByte.getValueAtPercentile(50) / MICROS_PER_MILLI,
            firstByte.getValueAtPercentile(99) / MICROS_PER_MILLI,
            total.getValueAtPercentile(50) / MICROS_PER_MILLI,
            total.getValueAtPercentile(99) / MICROS_PER_MILLI,
            longestGapNanos / 1e6));
    return line.toString();
  }
}
