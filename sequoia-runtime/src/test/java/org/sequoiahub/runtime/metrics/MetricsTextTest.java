package org.sequoiahub.runtime.metrics;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

class MetricsTextTest {

  @Test
  void rendersLinePerValue() {
    MetricRegistry metrics = new MetricRegistry();
    metrics.counter("requests.ended.200").inc(3);
    metrics.histogram("first_event_ms").update(40);
    metrics.register("hosts", (Gauge<Integer>) () -> 7);
    assertThat(MetricsText.render(metrics).lines().toList())
        .containsExactly(
            "requests.ended.200 3",
            "hosts 7",
            "first_event_ms.count 1",
            "first_event_ms.p50 40",
            "first_event_ms.p90 40",
            "first_event_ms.p99 40",
            "first_event_ms.max 40")
        .inOrder();
  }
}
