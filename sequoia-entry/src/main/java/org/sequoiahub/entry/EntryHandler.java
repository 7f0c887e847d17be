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

/** Reads and checks callers' requests and hands them to the entry's duty. */
final class EntryHandler extends Handler.Abstract {

  private static final Set<String> INFERENCE_PATHS =
      Set.of("/v1/completions", "/v1/chat/completions");
  private static final Set<String> PASSED_ON =
      Set.of(
          "content-type",
          "accept",
          "accept-language",
          "if-none-match",
          "if-match",
          "authorization");
  private static final String SERVICES = "/services/";
  private static final int MAX_OPERATIONS = 64;
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
    } else if (path.startsWith(SERVICES)) {
      handleService(request, reply, path.substring(SERVICES.length()));
    } else if (path.equals("/v1/address")) {
      handleAddress(request, reply);
    } else {
      reply.notRun(
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
      reply.header(HttpHeader.ALLOW.asString(), "POST");
      reply.notRun(HttpStatus.METHOD_NOT_ALLOWED_405, new NotRun("bad-method", "use POST", 0));
      return;
    }
    withContext(
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
          offer(new EntryEvent.Inference(path, body, caller), caller);
        });
  }

  private void handleService(Request request, Reply reply, String rest) {
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    if (!Names.isValid(name)) {
      reply.notRun(
          HttpStatus.NOT_FOUND_404,
          new NotRun("bad-service", "the path must be /services/NAME/...", 0));
      return;
    }
    String operation = header(request, Headers.OPERATION);
    if (!operation.isEmpty() && OperationId.parse(operation).isEmpty()) {
      reply.notRun(
          HttpStatus.BAD_REQUEST_400,
          new NotRun(
              "bad-operation-id",
              Headers.OPERATION + ": must be an id that this system handed out",
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
              if (PASSED_ON.contains(field.getLowerCaseName())) {
                headers.put(field.getLowerCaseName(), field.getValue());
              }
            });
    String method = request.getMethod().toUpperCase(Locale.ROOT);
    withContext(
        request,
        reply,
        "entry.service",
        (caller, bytes) ->
            offer(
                new EntryEvent.Service(name, method, target, headers, bytes, operation, caller),
                caller));
  }

  private void handleAddress(Request request, Reply reply) {
    int operations = 0;
    String asked = Request.extractQueryParameters(request).getValue("operations");
    try {
      operations = asked == null ? 0 : Integer.parseInt(asked);
    } catch (NumberFormatException e) {
      operations = -1;
    }
    if (operations < 0 || operations > MAX_OPERATIONS) {
      reply.notRun(
          HttpStatus.BAD_REQUEST_400,
          new NotRun("bad-operations", "operations: must be from 0 to " + MAX_OPERATIONS, 0));
      return;
    }
    int count = operations;
    withContext(
        request,
        reply,
        "entry.address",
        (caller, bytes) -> offer(new EntryEvent.Address(count, caller), caller));
  }

  /** Checks what every request carries, reads its body, and goes on with both. */
  private void withContext(
      Request request, Reply reply, String hop, BiConsumer<CallerContext, byte[]> next) {
    String requestId = requestIds.get();
    reply.header(Headers.REQUEST_ID, requestId);
    long timeout = timeoutMillis(request);
    if (timeout < 1) {
      reply.notRun(
          HttpStatus.BAD_REQUEST_400,
          new NotRun(
              "bad-timeout", Headers.TIMEOUT + ": must be a whole number of milliseconds", 0));
      return;
    }
    if (request.getLength() > settings.getMaxBodyBytes()) {
      tooLong(reply);
      return;
    }
    Span span = tracing.start(hop, SpanKind.SERVER, header(request, Headers.TRACEPARENT));
    CallerContext caller = new CallerContext(requestId, timeout, span, reply);
    Content.Source.asByteArrayAsync(request, (int) settings.getMaxBodyBytes())
        .whenComplete(
            (bytes, failure) -> {
              if (failure != null) {
                span.end();
                tooLong(reply);
              } else {
                next.accept(caller, bytes);
              }
            });
  }

  private void offer(EntryEvent event, CallerContext caller) {
    if (!duty.offer(event)) {
      caller.span().end();
      caller
          .reply()
          .notRun(
              HttpStatus.SERVICE_UNAVAILABLE_503,
              new NotRun("overloaded", "this host has too much to do", OVERLOAD_RETRY_MILLIS));
    }
  }

  private void tooLong(Reply reply) {
    reply.notRun(
        HttpStatus.PAYLOAD_TOO_LARGE_413,
        new NotRun(
            "body-too-long",
            "the body must be at most " + settings.getMaxBodyBytes() + " bytes",
            0));
  }

  private long timeoutMillis(Request request) {
    String text = header(request, Headers.TIMEOUT);
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
    caller.reply().notRun(status, new NotRun(reason, message, 0));
  }

  private static String header(Request request, String name) {
    @Nullable String value = request.getHeaders().get(name);
    return value == null ? "" : value;
  }
}
