package org.sequoiahub.runtime.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/** Renders a registry as text with a name and a value per line, sorted by name within each kind. */
public final class MetricsText {

  private static final double P90 = 0.9;

  private MetricsText() {}

  /** Returns the counters, numeric gauges and histograms of {@code metrics} as text. */
  public static String render(MetricRegistry metrics) {
    StringBuilder text = new StringBuilder();
    metrics.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
    metrics.getGauges().forEach((name, gauge) -> appendGauge(text, name, gauge));
    metrics
        .getHistograms()
        .forEach(
            (name, histogram) -> {
              Snapshot snapshot = histogram.getSnapshot();
              appendLine(text, name + ".count", histogram.getCount());
              appendLine(text, name + ".p50", snapshot.getMedian());
              appendLine(text, name + ".p90", snapshot.getValue(P90));
              appendLine(text, name + ".p99", snapshot.get99thPercentile());
              appendLine(text, name + ".max", snapshot.getMax());
            });
    return text.toString();
  }

  private static void appendGauge(StringBuilder text, String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      appendLine(text, name, number.doubleValue());
    }
  }

  private static void appendLine(StringBuilder text, String name, double value) {
    boolean whole = value == Math.rint(value);
    String shown = whole ? Long.toString((long) value) : String.format(Locale.ROOT, "%.2f", value);
    text.append(name).append(' ').append(shown).append('\n');
  }
}
