package org.sequoiahub.runtime.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/** Writes a registry as text: a name and a value a line, sorted by name. */
public final class MetricsText {

  private static final double P90 = 0.9;

  private MetricsText() {}

  /** Returns the text. */
  public static String render(MetricRegistry metrics) {
    StringBuilder text = new StringBuilder();
    metrics.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
    metrics.getGauges().forEach((name, gauge) -> gauge(text, name, gauge));
    metrics
        .getHistograms()
        .forEach(
            (name, histogram) -> {
              Snapshot snapshot = histogram.getSnapshot();
              line(text, name + ".count", histogram.getCount());
              line(text, name + ".p50", snapshot.getMedian());
              line(text, name + ".p90", snapshot.getValue(P90));
              line(text, name + ".p99", snapshot.get99thPercentile());
              line(text, name + ".max", snapshot.getMax());
            });
    return text.toString();
  }

  private static void gauge(StringBuilder text, String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      line(text, name, number.doubleValue());
    }
  }

  private static void line(StringBuilder text, String name, double value) {
    boolean whole = value == Math.rint(value);
    String shown = whole ? Long.toString((long) value) : String.format(Locale.ROOT, "%.2f", value);
    text.append(name).append(' ').append(shown).append('\n');
  }
}
