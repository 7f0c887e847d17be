package org.sequoiahub.entry;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.operation.OperationId;
import org.sequoiahub.core.record.PlatformRecord;
import org.sequoiahub.core.retry.RetryBudget;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.runtime.trace.Tracing;
import org.sequoiahub.schema.settings.EntrySettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.MintAnswer;
import org.sequoiahub.schema.wire.MintCall;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;
import org.sequoiahub.schema.wire.ServiceCall;
import org.sequoiahub.wire.CallListener;
import org.sequoiahub.wire.LocalView;
import org.sequoiahub.wire.WireClient;

/** Forwards callers' service calls to dispatchers and answers their address requests. */
final class ServiceFrontEnd {

  private static final int MAX_ALTERNATIVES = 3;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final EntrySettings settings;
  private final LocalView view;
  private final DispatcherDirectory dispatchers;
  private final Consumer<EntryEvent> events;
  private final RetryBudget budget;
  private final SplittableRandom random;
  private final Tracing tracing;
  private int callsInProgress;
  private boolean stopping;

  ServiceFrontEnd(
      EntrySettings settings,
      LocalView view,
      DispatcherDirectory dispatchers,
      Consumer<EntryEvent> events,
      SplittableRandom random,
      Tracing tracing) {
    this.settings = settings;
    this.view = view;
    this.dispatchers = dispatchers;
    this.events = events;
    this.budget = new RetryBudget(settings.getRetryBudgetPercent() / 100.0);
    this.random = random;
    this.tracing = tracing;
  }

  int size() {
    return callsInProgress;
  }

  void stop() {
    stopping = true;
  }

  /** Sends the addresses to use, along with the requested number of new operation ids. */
  void handleAddress(EntryEvent.Address event, long nowMillis) {
    if (event.operationIdCount() == 0) {
      sendAddresses(event.caller(), List.of());
      return;
    }
    requestOperationIds(
        event.operationIdCount(),
        nowMillis,
        issued -> sendAddresses(event.caller(), issued),
        () ->
            refuse(
                event.caller(),
                HttpStatus.SERVICE_UNAVAILABLE_503,
                new NotRun(
                    "no-dispatcher",
                    "no dispatcher can be reached to issue operation ids; retry later",
                    RETRY_AFTER_MILLIS)));
  }

  /**
   * Forwards a service call to a dispatcher. A call that is not idempotent and has no operation id
   * is answered with status 428 and a new operation id.
   */
  void handleCall(EntryEvent.Service event, long nowMillis) {
    Optional<PlatformRecord.Service> record =
        view.records()
            .record("services/" + event.service())
            .map(PlatformRecord.Service.class::cast);
    if (record.isEmpty()) {
      refuse(
          event.caller(),
          HttpStatus.NOT_FOUND_404,
          new NotRun("unknown-service", "no service '" + event.service() + "' is configured", 0));
      return;
    }
    long timeout = Math.min(record.get().timeoutMillis(), event.caller().timeoutMillis());
    ServiceCall.Builder message =
        ServiceCall.newBuilder()
            .setRequestId(event.caller().requestId())
            .setService(event.service())
            .setMethod(event.method())
            .setPath(event.path())
            .putAllHeaders(event.headers())
            .setBody(ByteString.copyFrom(event.body()))
            .setRemainingMs(timeout)
            .setTraceparent(tracing.traceparent(event.caller().span()));
    if (record.get().idempotentMethods().contains(event.method())) {
      send(message.setIdempotent(true), event.caller(), shuffledLiveHosts(), nowMillis);
    } else if (event.operationId().isEmpty()) {
      requireOperationId(event.caller(), nowMillis);
    } else {
      sendOperation(message, event, nowMillis);
    }
  }

  private void requireOperationId(CallerContext caller, long nowMillis) {
    requestOperationIds(
        1,
        nowMillis,
        issued -> {
          caller.reply().setHeader(Headers.OPERATION_ID, issued.get(0));
          refuse(
              caller,
              HttpStatus.PRECONDITION_REQUIRED_428,
              new NotRun(
                  "operation-id-required",
                  "repeat the call with the operation id in this answer's "
                      + Headers.OPERATION_ID
                      + " header",
                  1));
        },
        () ->
            refuse(
                caller,
                HttpStatus.SERVICE_UNAVAILABLE_503,
                new NotRun(
                    "no-dispatcher",
                    "no dispatcher can be reached to issue an operation id; retry later",
                    RETRY_AFTER_MILLIS)));
  }

  /**
   * Sends an operation to the only host whose dispatcher may run it. If that host cannot be
   * reached, no other host knows whether an earlier call with this id ran. The verdict is therefore
   * {@code MAY_HAVE_RUN}, even if this call itself was never sent.
   */
  private void sendOperation(
      ServiceCall.Builder message, EntryEvent.Service event, long nowMillis) {
    OperationId id = OperationId.parse(event.operationId()).orElseThrow();
    event.caller().reply().setHeader(Headers.OPERATION_ID, id.toString());
    Optional<Host> owner = view.fleet().host(id.host());
    if (owner.isEmpty()) {
      failMayHaveRun(
          event.caller(),
          "operation-owner-gone",
          "the host that issued the operation id is no longer in the fleet;"
              + " check whether the operation took effect before you repeat it with a new id");
      return;
    }
    message.setOperationId(id.toString());
    callsInProgress++;
    WireClient client = dispatchers.client(owner.get());
    client.call(
        Envelope.newBuilder().setService(message),
        new SingleAnswerListener(
            client,
            answer -> complete(event.caller(), answer.getOutcome()),
            handedOn ->
                failMayHaveRun(
                    event.caller(),
                    "operation-owner-unreachable",
                    "the host that issued the operation id cannot be reached;"
                        + " repeat the call with the same id")));
  }

  private void send(
      ServiceCall.Builder message, CallerContext caller, List<Host> hosts, long nowMillis) {
    Optional<Host> host = dispatchers.preferReachable(hosts, nowMillis);
    if (host.isEmpty()) {
      refuse(
          caller,
          HttpStatus.SERVICE_UNAVAILABLE_503,
          new NotRun(
              "no-dispatcher", "no dispatcher can be reached; retry later", RETRY_AFTER_MILLIS));
      return;
    }
    callsInProgress++;
    budget.recordFirstAttempt();
    List<Host> others = hosts.stream().filter(h -> !h.id().equals(host.get().id())).toList();
    WireClient client = dispatchers.client(host.get());
    client.call(
        Envelope.newBuilder().setService(message),
        new SingleAnswerListener(
            client,
            answer ->
                handleIdempotentOutcome(message, caller, others, answer.getOutcome(), nowMillis),
            handedOn -> {
              dispatchers.markUnreachable(host.get().id(), nowMillis);
              retryOnAnotherHost(message, caller, others, nowMillis);
            }));
  }

  private void handleIdempotentOutcome(
      ServiceCall.Builder message,
      CallerContext caller,
      List<Host> others,
      Outcome outcome,
      long nowMillis) {
    if (outcome.getComplete() || others.isEmpty() || !budget.tryAcquireRetry()) {
      complete(caller, outcome);
    } else {
      callsInProgress--;
      send(message, caller, others, nowMillis);
    }
  }

  private void retryOnAnotherHost(
      ServiceCall.Builder message, CallerContext caller, List<Host> others, long nowMillis) {
    callsInProgress--;
    if (others.isEmpty() || !budget.tryAcquireRetry()) {
      callsInProgress++;
      failMayHaveRun(caller, "dispatcher-lost", "the connection to the dispatcher was lost");
    } else {
      send(message, caller, others, nowMillis);
    }
  }

  private void complete(CallerContext caller, Outcome outcome) {
    callsInProgress--;
    if (!outcome.getComplete()) {
      caller.reply().sendFailure(outcome);
    } else {
      caller.reply().setVerdict(RunVerdict.RAN);
      caller.reply().setHeader(Headers.RUNNER, outcome.getRunner());
      outcome.getHeadersMap().forEach(caller.reply()::setHeader);
      caller.reply().sendBytes(outcome.getStatus(), outcome.getBody().toByteArray());
    }
    endSpan(caller, outcome.getVerdict());
  }

  private void failMayHaveRun(CallerContext caller, String reason, String message) {
    callsInProgress = Math.max(0, callsInProgress - 1);
    caller
        .reply()
        .sendFailure(
            Outcome.newBuilder()
                .setVerdict(RunVerdict.MAY_HAVE_RUN)
                .setStatus(HttpStatus.BAD_GATEWAY_502)
                .setReason(reason)
                .setMessage(message)
                .build());
    endSpan(caller, RunVerdict.MAY_HAVE_RUN);
  }

  private void requestOperationIds(
      int count, long nowMillis, Consumer<List<String>> onIssued, Runnable onUnreachable) {
    // The dispatcher on this entry's host comes first because the two are replaced together.
    List<Host> hosts = new ArrayList<>(shuffledLiveHosts());
    hosts.sort((a, b) -> Boolean.compare(isLocal(b), isLocal(a)));
    Optional<Host> host = dispatchers.preferReachable(hosts, nowMillis);
    if (host.isEmpty()) {
      onUnreachable.run();
      return;
    }
    WireClient client = dispatchers.client(host.get());
    client.call(
        Envelope.newBuilder().setMint(MintCall.newBuilder().setCount(count)),
        new SingleAnswerListener(
            client,
            answer -> onIssued.accept(operationIds(answer.getMinted())),
            handedOn -> {
              dispatchers.markUnreachable(host.get().id(), nowMillis);
              onUnreachable.run();
            }));
  }

  private void sendAddresses(CallerContext caller, List<String> operationIds) {
    List<String> addresses =
        shuffledLiveHosts().stream()
            .filter(host -> !(stopping && isLocal(host)))
            .map(host -> host.address() + ":" + host.entryPort())
            .limit(1 + MAX_ALTERNATIVES)
            .toList();
    if (addresses.isEmpty()) {
      refuse(
          caller,
          HttpStatus.SERVICE_UNAVAILABLE_503,
          new NotRun("no-host", "no live entry host is known; retry later", RETRY_AFTER_MILLIS));
      return;
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("address", addresses.get(0));
    answer.put("alternatives", addresses.subList(1, addresses.size()));
    answer.put("keep_ms", settings.getAddressTtlMs());
    answer.put("operation_ids", operationIds);
    caller.reply().setVerdict(RunVerdict.RAN);
    caller.reply().sendJson(HttpStatus.OK_200, answer);
    endSpan(caller, RunVerdict.RAN);
  }

  /** Returns the live hosts in random order, so that callers are spread over them. */
  private List<Host> shuffledLiveHosts() {
    List<Host> hosts = new ArrayList<>(view.fleet().liveHosts());
    for (int i = hosts.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      Host moved = hosts.get(i);
      hosts.set(i, hosts.get(j));
      hosts.set(j, moved);
    }
    return hosts;
  }

  private boolean isLocal(Host host) {
    return host.id().equals(settings.getHostId());
  }

  private void refuse(CallerContext caller, int status, NotRun refusal) {
    caller.reply().sendNotRun(status, refusal);
    endSpan(caller, RunVerdict.NOT_RUN);
  }

  private static void endSpan(CallerContext caller, RunVerdict verdict) {
    Span span = caller.span();
    span.setAttribute("verdict", verdict.name());
    span.end();
  }

  private static List<String> operationIds(MintAnswer answer) {
    return answer.getOperationIdsList();
  }

  /** Listens for the single answer to a call and has it handled on the duty's thread. */
  private final class SingleAnswerListener implements CallListener {
    private final WireClient client;
    private final Consumer<Envelope> onAnswer;
    private final Consumer<Boolean> lost;

    SingleAnswerListener(WireClient client, Consumer<Envelope> answered, Consumer<Boolean> lost) {
      this.client = client;
      this.onAnswer = answered;
      this.lost = lost;
    }

    @Override
    public void onMessage(Envelope message) {
      client.endCall(message.getCall());
      events.accept(new EntryEvent.CallCompleted(() -> onAnswer.accept(message)));
    }

    @Override
    public void onConnectionLost(boolean handedOn) {
      events.accept(new EntryEvent.CallCompleted(() -> lost.accept(handedOn)));
    }
  }
}
