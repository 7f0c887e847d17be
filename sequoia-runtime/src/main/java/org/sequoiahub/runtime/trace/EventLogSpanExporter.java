package org.sequoiahub.runtime.trace;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import org.sequoiahub.runtime.log.EventLog;

/** Exports each span as an event of the {@link EventLog}. */
final class EventLogSpanExporter implements SpanExporter {

  private static final long NANOS_PER_MICRO = 1_000;

  private final EventLog log;

  EventLogSpanExporter(EventLog log) {
    this.log = log;
  }

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    for (SpanData span : spans) {
      log.info(
          "span",
          "trace",
          span.getTraceId(),
          "span",
          span.getSpanId(),
          "parent",
          span.getParentSpanId(),
          "name",
          span.getName(),
          "start_us",
          span.getStartEpochNanos() / NANOS_PER_MICRO,
          "duration_us",
          (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MICRO,
          "status",
          span.getStatus().getStatusCode(),
          "attributes",
          span.getAttributes());
    }
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode flush() {
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode shutdown() {
    return CompletableResultCode.ofSuccess();
  }
}
