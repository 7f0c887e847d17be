package org.sequoiahub.runtime.trace;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.runtime.log.EventLog;

/** Starts spans and propagates their context between hops as a W3C {@code traceparent}. */
public final class Tracing implements AutoCloseable {

  private static final String TRACEPARENT = "traceparent";
  private static final W3CTraceContextPropagator PROPAGATOR =
      W3CTraceContextPropagator.getInstance();

  private final Tracer tracer;
  private final Runnable shutdown;

  private Tracing(OpenTelemetry telemetry, Runnable shutdown) {
    this.tracer = telemetry.getTracer("sequoiahub");
    this.shutdown = shutdown;
  }

  /**
   * Creates the tracing of a process.
   *
   * @param destination {@code off}, {@code log} or {@code otlp}
   * @param otlpEndpoint the collector's address, for {@code otlp}
   * @param role the process's role
   * @param log the log that receives the spans, for {@code log}
   */
  public static Tracing create(String destination, String otlpEndpoint, String role, EventLog log) {
    if (destination.equals("off")) {
      return new Tracing(OpenTelemetry.noop(), () -> {});
    }
    var provider =
        SdkTracerProvider.builder()
            .setResource(
                Resource.getDefault()
                    .merge(
                        Resource.create(
                            Attributes.of(
                                AttributeKey.stringKey("service.name"), "sequoia-" + role))));
    if (destination.equals("otlp")) {
      var exporter = OtlpHttpSpanExporter.builder().setEndpoint(otlpEndpoint).build();
      provider.addSpanProcessor(BatchSpanProcessor.builder(exporter).build());
    } else {
      provider.addSpanProcessor(SimpleSpanProcessor.create(new EventLogSpanExporter(log)));
    }
    OpenTelemetrySdk sdk = OpenTelemetrySdk.builder().setTracerProvider(provider.build()).build();
    return new Tracing(sdk, sdk::close);
  }

  /**
   * Starts the span of one hop.
   *
   * @param name the name of the hop
   * @param kind whether the hop receives or sends
   * @param traceparent the context received with the request; a new trace starts if null or invalid
   */
  public Span start(String name, SpanKind kind, @Nullable String traceparent) {
    Context parent = Context.root();
    if (traceparent != null && !traceparent.isEmpty()) {
      parent = PROPAGATOR.extract(parent, traceparent, TraceparentGetter.INSTANCE);
    }
    return tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
  }

  /** Returns the {@code traceparent} that makes {@code span} the parent of the next hop's span. */
  public String traceparent(Span span) {
    Map<String, String> carrier = new HashMap<>();
    PROPAGATOR.inject(
        Context.root().with(span),
        carrier,
        (map, key, value) -> {
          if (map != null) {
            map.put(key, value);
          }
        });
    return carrier.getOrDefault(TRACEPARENT, "");
  }

  @Override
  public void close() {
    shutdown.run();
  }

  private enum TraceparentGetter implements TextMapGetter<String> {
    INSTANCE;

    @Override
    public Iterable<String> keys(String carrier) {
      return java.util.List.of(TRACEPARENT);
    }

    @Override
    public @Nullable String get(@Nullable String carrier, String key) {
      return key.equals(TRACEPARENT) ? carrier : null;
    }
  }
}
