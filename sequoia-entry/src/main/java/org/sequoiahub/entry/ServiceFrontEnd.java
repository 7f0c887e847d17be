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

/** Callers' calls of plain services, and their questions which address to use. */
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

  /** Answers which addresses to use, and with operation ids if some were asked for. */
  void handleAddress(EntryEvent.Address event, long nowMillis) {
    if (event.operationIdCount() == 0) {
      sendAddresses(event.caller(), List.of());
      return;
    }
    requestOperationIds(
        event.operationIdCount(),
        nowMillis,
        minted -> sendAddresses(event.caller(), minted),
        () ->
            refuse(
                event.caller(),
                HttpStatus.SERVICE_UNAVAILABLE_503,
                new NotRun(
                    "no-dispatcher", "no operation ids can be had now", RETRY_AFTER_MILLIS)));
  }

  /** Makes a service call, or answers 428 with a fresh operation id. */
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
        minted -> {
          caller.reply().setHeader(Headers.OPERATION_ID, minted.get(0));
          refuse(
              caller,
              HttpStatus.PRECONDITION_REQUIRED_428,
              new NotRun(
                  "operation-id-required",
                  "repeat the call with this answer's " + Headers.OPERATION_ID + " header",
                  1));
        },
        () ->
            refuse(
                caller,
                HttpStatus.SERVICE_UNAVAILABLE_503,
                new NotRun("no-dispatcher", "no operation id can be had now", RETRY_AFTER_MILLIS)));
  }

  /**
   * Sends an operation to the one host whose dispatcher may run it. If that host cannot be reached,
   * nobody else can tell whether an earlier call with this id ran, so the verdict is a doubt even
   * though this call itself was not handed on.
   */
  private void sendOperation(
      ServiceCall.Builder message, EntryEvent.Service event, long nowMillis) {
    OperationId id = OperationId.parse(event.operationId()).orElseThrow();
    event.caller().reply().setHeader(Headers.OPERATION_ID, id.toString());
    Optional<Host> owner = view.fleet().host(id.host());
    if (owner.isEmpty()) {
      failMayHaveRun(event.caller(), "operation-owner-gone", "the host that handed the id out is gone");
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
                    "repeat with the same operation id")));
  }

  private void send(
      ServiceCall.Builder message, CallerContext caller, List<Host> hosts, long nowMillis) {
    Optional<Host> host = dispatchers.preferReachable(hosts, nowMillis);
    if (host.isEmpty()) {
      refuse(
          caller,
          HttpStatus.SERVICE_UNAVAILABLE_503,
          new NotRun("no-dispatcher", "no dispatcher can be reached", RETRY_AFTER_MILLIS));
      return;
    }
    callsInProgress++;
    budget.firstAttempt();
    List<Host> others = hosts.stream().filter(h -> !h.id().equals(host.get().id())).toList();
    WireClient client = dispatchers.client(host.get());
    client.call(
        Envelope.newBuilder().setService(message),
        new SingleAnswerListener(
            client,
            answer -> handleIdempotentOutcome(message, caller, others, answer.getOutcome(), nowMillis),
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
    if (outcome.getComplete() || others.isEmpty() || !budget.tryRetry()) {
      complete(caller, outcome);
    } else {
      callsInProgress--;
      send(message, caller, others, nowMillis);
    }
  }

  private void retryOnAnotherHost(
      ServiceCall.Builder message, CallerContext caller, List<Host> others, long nowMillis) {
    callsInProgress--;
    if (others.isEmpty() || !budget.tryRetry()) {
      callsInProgress++;
      failMayHaveRun(caller, "dispatcher-lost", "the dispatcher's connection is gone");
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
      int count, long nowMillis, Consumer<List<String>> minted, Runnable unreachable) {
    // The dispatcher beside this entry first: the two are replaced together.
    List<Host> hosts = new ArrayList<>(shuffledLiveHosts());
    hosts.sort((a, b) -> Boolean.compare(isLocal(b), isLocal(a)));
    Optional<Host> host = dispatchers.preferReachable(hosts, nowMillis);
    if (host.isEmpty()) {
      unreachable.run();
      return;
    }
    WireClient client = dispatchers.client(host.get());
    client.call(
        Envelope.newBuilder().setMint(MintCall.newBuilder().setCount(count)),
        new SingleAnswerListener(
            client,
            answer -> minted.accept(operationIds(answer.getMinted())),
            handedOn -> {
              dispatchers.markUnreachable(host.get().id(), nowMillis);
              unreachable.run();
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
          new NotRun("no-host", "no entry host is known to be live", RETRY_AFTER_MILLIS));
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

  /** Returns the live hosts in a random order, so that callers spread over them. */
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

  /** A call with one answer, handled on the duty's thread. */
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
    public void message(Envelope message) {
      client.end(message.getCall());
      events.accept(new EntryEvent.CallCompleted(() -> onAnswer.accept(message)));
    }

    @Override
    public void lost(boolean handedOn) {
      events.accept(new EntryEvent.CallCompleted(() -> lost.accept(handedOn)));
    }
  }
}
