package org.sequoiahub.entry;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.operation.OperationId;
import org.sequoiahub.core.record.Names;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.runtime.duty.Duty;
import org.sequoiahub.runtime.trace.Tracing;
import org.sequoiahub.schema.settings.EntrySettings;

/** Reads and validates callers' HTTP requests and submits them to the entry's duty. */
final class EntryHandler extends Handler.Abstract {

  private static final Set<String> INFERENCE_PATHS =
      Set.of("/v1/completions", "/v1/chat/completions");
  private static final Set<String> FORWARDED_HEADERS =
      Set.of(
          "content-type",
          "accept",
          "accept-language",
          "if-none-match",
          "if-match",
          "authorization");
  private static final String SERVICES_PREFIX = "/services/";
  private static final int MAX_OPERATION_IDS = 64;
  private static final long OVERLOAD_RETRY_MILLIS = 500;

  private final EntrySettings settings;
  private final Duty<EntryEvent> duty;
  private final Tracing tracing;
  private final Supplier<String> requestIds;

  EntryHandler(
      EntrySettings settings, Duty<EntryEvent> duty, Tracing tracing, Supplier<String> requestIds) {
    this.settings = settings;
    this.duty = duty;
    this.tracing = tracing;
    this.requestIds = requestIds;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    Reply reply = new Reply(response, callback);
    String path = Request.getPathInContext(request);
    if (INFERENCE_PATHS.contains(path)) {
      handleInference(request, reply, path);
    } else if (path.startsWith(SERVICES_PREFIX)) {
      handleService(request, reply, path.substring(SERVICES_PREFIX.length()));
    } else if (path.equals("/v1/address")) {
      handleAddress(request, reply);
    } else {
      reply.sendNotRun(
          HttpStatus.NOT_FOUND_404,
          new NotRun(
              "unknown-path",
              "paths are /v1/chat/completions, /v1/completions, /v1/address and /services/NAME/",
              0));
    }
    return true;
  }

  private void handleInference(Request request, Reply reply, String path) {
    if (!HttpMethod.POST.is(request.getMethod())) {
      reply.setHeader(HttpHeader.ALLOW.asString(), "POST");
      reply.sendNotRun(
          HttpStatus.METHOD_NOT_ALLOWED_405,
          new NotRun("bad-method", "the method must be POST", 0));
      return;
    }
    readRequest(
        request,
        reply,
        "entry.inference",
        (caller, bytes) -> {
          InferenceBody body;
          try {
            body = InferenceBody.parse(bytes);
          } catch (IllegalArgumentException e) {
            refuse(caller, HttpStatus.BAD_REQUEST_400, "bad-body", String.valueOf(e.getMessage()));
            return;
          }
          submit(new EntryEvent.Inference(path, body, caller), caller);
        });
  }

  private void handleService(Request request, Reply reply, String rest) {
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    if (!Names.isValid(name)) {
      reply.sendNotRun(
          HttpStatus.NOT_FOUND_404,
          new NotRun("bad-service", "the path must be /services/NAME/...", 0));
      return;
    }
    String operation = header(request, Headers.OPERATION_ID);
    if (!operation.isEmpty() && OperationId.parse(operation).isEmpty()) {
      reply.sendNotRun(
          HttpStatus.BAD_REQUEST_400,
          new NotRun(
              "bad-operation-id",
              Headers.OPERATION_ID + ": must be an operation id issued by this system",
              0));
      return;
    }
    String query = request.getHttpURI().getQuery();
    String target = (slash < 0 ? "/" : rest.substring(slash)) + (query == null ? "" : "?" + query);
    Map<String, String> headers = new HashMap<>();
    request
        .getHeaders()
        .forEach(
            field -> {
              if (FORWARDED_HEADERS.contains(field.getLowerCaseName())) {
                headers.put(field.getLowerCaseName(), field.getValue());
              }
            });
    String method = request.getMethod().toUpperCase(Locale.ROOT);
    readRequest(
        request,
        reply,
        "entry.service",
        (caller, bytes) ->
            submit(
                new EntryEvent.Service(name, method, target, headers, bytes, operation, caller),
                caller));
  }

  private void handleAddress(Request request, Reply reply) {
    int operations = 0;
    String parameter = Request.extractQueryParameters(request).getValue("operations");
    try {
      operations = parameter == null ? 0 : Integer.parseInt(parameter);
    } catch (NumberFormatException e) {
      operations = -1;
    }
    if (operations < 0 || operations > MAX_OPERATION_IDS) {
      reply.sendNotRun(
          HttpStatus.BAD_REQUEST_400,
          new NotRun("bad-operations", "operations: must be from 0 to " + MAX_OPERATION_IDS, 0));
      return;
    }
    int count = operations;
    readRequest(
        request,
        reply,
        "entry.address",
        (caller, bytes) -> submit(new EntryEvent.Address(count, caller), caller));
  }

  /**
   * Validates the headers common to all requests, reads the body, and passes the context and the
   * body on to {@code next}.
   */
  private void readRequest(
      Request request, Reply reply, String spanName, BiConsumer<CallerContext, byte[]> next) {
    String requestId = requestIds.get();
    reply.setHeader(Headers.REQUEST_ID, requestId);
    long timeout = timeoutMillis(request);
    if (timeout < 1) {
      reply.sendNotRun(
          HttpStatus.BAD_REQUEST_400,
          new NotRun(
              "bad-timeout",
              Headers.TIMEOUT_MILLIS + ": must be a whole number of milliseconds",
              0));
      return;
    }
    if (request.getLength() > settings.getMaxBodyBytes()) {
      refuseTooLongBody(reply);
      return;
    }
    Span span = tracing.start(spanName, SpanKind.SERVER, header(request, Headers.TRACEPARENT));
    CallerContext caller = new CallerContext(requestId, timeout, span, reply);
    Content.Source.asByteArrayAsync(request, (int) settings.getMaxBodyBytes())
        .whenComplete(
            (bytes, failure) -> {
              if (failure != null) {
                span.end();
                refuseTooLongBody(reply);
              } else {
                next.accept(caller, bytes);
              }
            });
  }

  private void submit(EntryEvent event, CallerContext caller) {
    if (!duty.offer(event)) {
      caller.span().end();
      caller
          .reply()
          .sendNotRun(
              HttpStatus.SERVICE_UNAVAILABLE_503,
              new NotRun(
                  "overloaded",
                  "this host's event queue is full; use another address or retry later",
                  OVERLOAD_RETRY_MILLIS));
    }
  }

  private void refuseTooLongBody(Reply reply) {
    reply.sendNotRun(
        HttpStatus.PAYLOAD_TOO_LARGE_413,
        new NotRun(
            "body-too-long",
            "the body must be at most " + settings.getMaxBodyBytes() + " bytes",
            0));
  }

  private long timeoutMillis(Request request) {
    String text = header(request, Headers.TIMEOUT_MILLIS);
    if (text.isEmpty()) {
      return settings.getRequestTimeoutMs();
    }
    try {
      return Math.min(Long.parseLong(text), settings.getRequestTimeoutMs());
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static void refuse(CallerContext caller, int status, String reason, String message) {
    caller.span().end();
    caller.reply().sendNotRun(status, new NotRun(reason, message, 0));
  }

  private static String header(Request request, String name) {
    @Nullable String value = request.getHeaders().get(name);
    return value == null ? "" : value;
  }
}
