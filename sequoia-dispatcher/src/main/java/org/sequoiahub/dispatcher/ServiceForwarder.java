package org.sequoiahub.dispatcher;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.ServiceUpstream;
import org.sequoiahub.core.fleet.Fleet.State;
import org.sequoiahub.core.operation.BeginDecision;
import org.sequoiahub.core.operation.OperationId;
import org.sequoiahub.core.operation.OperationTable;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.core.verdict.Verdict.MayHaveRun;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.platform.ServiceClient;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.trace.Tracing;
import org.sequoiahub.schema.settings.DispatcherSettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.MintAnswer;
import org.sequoiahub.schema.wire.MintCall;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;
import org.sequoiahub.schema.wire.ServiceCall;
import org.sequoiahub.wire.WireConnection;

/** Forwards service calls to upstreams, and runs each operation with an id at most once. */
final class ServiceForwarder {

  private static final int MAX_IDS_PER_CALL = 64;

  private final ServiceClient services;
  private final OperationTable<Outcome> operations;
  private final Consumer<DispatcherEvent> events;
  private final Tracing tracing;
  private final EventLog log;
  private final Map<Long, ServiceJob> jobs = new HashMap<>();
  private final Map<OperationId, List<CallerReference>> waitingCallers = new HashMap<>();
  private final Counter repeatedCalls;
  private final Counter unknownOutcomes;
  private long lastJob;
  private Fleet fleet = Fleet.EMPTY;
  private boolean stopping;

  ServiceForwarder(
      DispatcherSettings settings,
      long incarnation,
      ServiceClient services,
      Consumer<DispatcherEvent> events,
      Tracing tracing,
      MetricRegistry metrics,
      EventLog log) {
    this.services = services;
    this.operations =
        new OperationTable<>(
            settings.getHostId(),
            incarnation,
            settings.getOperationTtlMs(),
            settings.getOperationLimit());
    this.events = events;
    this.tracing = tracing;
    this.log = log;
    this.repeatedCalls = metrics.counter("operations.repeated");
    this.unknownOutcomes = metrics.counter("operations.unknown");
  }

  void fleet(Fleet next) {
    fleet = next;
  }

  void stop() {
    stopping = true;
  }

  int size() {
    return jobs.size();
  }

  void mintOperationIds(WireConnection connection, long call, MintCall message, long nowMillis) {
    int count = Math.max(1, Math.min(MAX_IDS_PER_CALL, message.getCount()));
    MintAnswer.Builder answer = MintAnswer.newBuilder().setExpiresInMs(operations.lifetimeMillis());
    operations.mint(count, nowMillis).forEach(id -> answer.addOperationIds(id.toString()));
    connection.send(call, Envelope.newBuilder().setMinted(answer));
  }

  void handleServiceCall(
      WireConnection connection, long call, ServiceCall message, long nowMillis) {
    CallerReference caller = new CallerReference(connection, call);
    if (message.getIdempotent()) {
      if (stopping) {
        caller.answer(Outcomes.of(notRun("stopping", "this host is stopping")));
      } else {
        forward(message, caller, null);
      }
      return;
    }
    Optional<OperationId> id = OperationId.parse(message.getOperationId());
    if (id.isEmpty()) {
      caller.answer(
          Outcomes.of(new NotRun("bad-operation-id", "the operation id is malformed", 0)));
      return;
    }
    beginOperation(message, caller, id.get(), nowMillis);
  }

  void upstreamAnswered(DispatcherEvent.ServiceAnswered event) {
    ServiceJob job = jobs.remove(event.job());
    if (job == null) {
      return;
    }
    Outcome.Builder outcome =
        Outcome.newBuilder()
            .setVerdict(RunVerdict.RAN)
            .setComplete(true)
            .setStatus(event.status())
            .putAllHeaders(event.headers())
            .setBody(ByteString.copyFrom(event.body()))
            .setRunner(job.upstream.id());
    if (job.operation != null) {
      operations.completed(job.operation, outcome.build());
    }
    complete(job, outcome);
  }

  void upstreamFailed(DispatcherEvent.ServiceFailed event) {
    ServiceJob job = jobs.remove(event.job());
    if (job == null) {
      return;
    }
    Verdict verdict =
        event.sent()
            ? new MayHaveRun("upstream-lost", event.reason())
            : notRun("upstream-unreachable", event.reason());
    if (job.operation != null && event.sent()) {
      unknownOutcomes.inc();
      operations.outcomeUnknown(job.operation);
    } else if (job.operation != null) {
      operations.notRun(job.operation);
    }
    log.warning(
        "service-failed",
        "service",
        job.upstream.service(),
        "upstream",
        job.upstream.id(),
        "sent",
        event.sent(),
        "error",
        event.reason());
    complete(job, Outcomes.of(verdict).setRunner(job.upstream.id()));
  }

  private void beginOperation(
      ServiceCall message, CallerReference caller, OperationId id, long nowMillis) {
    BeginDecision<Outcome> begin = operations.begin(id, nowMillis);
    if (begin instanceof BeginDecision.Replay<Outcome> repeat) {
      repeatedCalls.inc();
      caller.answer(repeat.answer().toBuilder());
    } else if (begin instanceof BeginDecision.Wait<Outcome>) {
      repeatedCalls.inc();
      waitingCallers.computeIfAbsent(id, i -> new ArrayList<>()).add(caller);
    } else if (begin instanceof BeginDecision.Refuse<Outcome> refuse) {
      caller.answer(Outcomes.of(refuse.verdict()));
    } else if (stopping) {
      operations.notRun(id);
      caller.answer(Outcomes.of(notRun("stopping", "this host is stopping")));
    } else {
      forward(message, caller, id);
    }
  }

  private void forward(
      ServiceCall message, CallerReference caller, @Nullable OperationId operation) {
    Optional<ServiceUpstream> upstream = selectUpstream(message.getService());
    if (upstream.isEmpty()) {
      if (operation != null) {
        operations.notRun(operation);
      }
      caller.answer(Outcomes.of(notRun("no-upstream", "no upstream of the service is live")));
      return;
    }
    Span span = tracing.start("dispatcher.service", SpanKind.SERVER, message.getTraceparent());
    span.setAttribute("upstream", upstream.get().id());
    long number = ++lastJob;
    jobs.put(number, new ServiceJob(upstream.get(), caller, operation, span));
    Map<String, String> headers = new HashMap<>(message.getHeadersMap());
    String traceparent = tracing.traceparent(span);
    if (!traceparent.isEmpty()) {
      headers.put("traceparent", traceparent);
    }
    services.call(
        upstream.get().address(),
        message.getMethod(),
        message.getPath(),
        headers,
        message.getBody().toByteArray(),
        Math.max(1, message.getRemainingMs()),
        new UpstreamListener(number));
  }

  /** Returns the live upstream of a service with the fewest calls in flight from this host. */
  private Optional<ServiceUpstream> selectUpstream(String service) {
    Map<String, Long> inFlight = new HashMap<>();
    jobs.values().forEach(job -> inFlight.merge(job.upstream.id(), 1L, Long::sum));
    List<ServiceUpstream> live =
        fleet.upstreams().stream()
            .filter(u -> u.service().equals(service) && u.state() == State.LIVE)
            .toList();
    ServiceUpstream best = null;
    for (int i = 0; i < live.size(); i++) {
      ServiceUpstream candidate = live.get((int) ((lastJob + i) % live.size()));
      if (best == null
          || inFlight.getOrDefault(candidate.id(), 0L) < inFlight.getOrDefault(best.id(), 0L)) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private void complete(ServiceJob job, Outcome.Builder outcome) {
    job.span.setAttribute("verdict", outcome.getVerdict().name());
    job.span.end();
    job.caller.answer(outcome);
    if (job.operation != null) {
      List<CallerReference> waiting = waitingCallers.remove(job.operation);
      if (waiting != null) {
        waiting.forEach(waitingCaller -> waitingCaller.answer(outcome));
      }
    }
  }

  private static NotRun notRun(String reason, String message) {
    return new NotRun(reason, message, 1);
  }

  private record CallerReference(WireConnection connection, long call) {
    void answer(Outcome.Builder outcome) {
      connection.send(call, Outcomes.envelope(outcome));
    }
  }

  private record ServiceJob(
      ServiceUpstream upstream,
      CallerReference caller,
      @Nullable OperationId operation,
      Span span) {}

  private final class UpstreamListener implements ServiceClient.Listener {
    private final long job;

    UpstreamListener(long job) {
      this.job = job;
    }

    @Override
    public void onResponse(int status, Map<String, String> headers, byte[] body) {
      events.accept(new DispatcherEvent.ServiceAnswered(job, status, headers, body));
    }

    @Override
    public void onFailure(boolean sent, String reason) {
      events.accept(new DispatcherEvent.ServiceFailed(job, sent, reason));
    }
  }
}
