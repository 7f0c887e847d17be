package org.sequoiahub.standins;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a load's calls came to. Thread-safe. */
final class LoadStats {

  private static final long MAX_MICROS = 600_000_000L;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private final Histogram total = new Histogram(MAX_MICROS, 3);
  private final Histogram firstByte = new Histogram(MAX_MICROS, 3);
  private final Map<String, Integer> counts = new TreeMap<>();
  private long lastCompleteNanos;
  private long longestGapNanos;

  synchronized void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  synchronized void recordComplete(long totalNanos, long firstNanos, long nowNanos) {
    count("whole");
    total.recordValue(Math.min(MAX_MICROS, totalNanos / 1_000));
    firstByte.recordValue(Math.min(MAX_MICROS, firstNanos / 1_000));
    if (lastCompleteNanos != 0) {
      longestGapNanos = Math.max(longestGapNanos, nowNanos - lastCompleteNanos);
    }
    lastCompleteNanos = nowNanos;
  }

  synchronized int countOf(String what) {
    return counts.getOrDefault(what, 0);
  }

  synchronized String summary() {
    StringBuilder line = new StringBuilder();
    counts.forEach((what, n) -> line.append(what).append('=').append(n).append(' '));
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
