package org.sequoiahub.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.runtime.http.PieceWriter;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;

/**
 * Writes one answer to one caller, a piece at a time.
 *
 * <p>May be used by any thread; the pieces go out in the order of the calls.
 *
 * @see PieceWriter
 */
final class Reply {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Response response;
  private final PieceWriter writer;
  private boolean committed;

  Reply(Response response, Callback callback) {
    this.response = response;
    this.writer = new PieceWriter(response, callback);
  }

  /** Sets a header; no effect once the answer has begun. */
  synchronized void setHeader(String name, String value) {
    if (!committed) {
      response.getHeaders().put(name, value);
    }
  }

  /** Sends one server-sent event; false if the caller is gone or too slow. */
  boolean sendEvent(byte[] json) {
    synchronized (this) {
      if (!committed) {
        committed = true;
        response.setStatus(HttpStatus.OK_200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
      }
    }
    return writer.write(serverSentEvent(json), false);
  }

  /** Ends a streamed answer with the marker that says it is whole. */
  void completeEvents() {
    writer.write(serverSentEvent("[DONE]".getBytes(StandardCharsets.UTF_8)), true);
  }

  /** Answers with JSON. */
  void sendJson(int status, Object body) {
    byte[] bytes;
    try {
      bytes = body instanceof byte[] raw ? raw : MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body must be JSON values", e);
    }
    setHeader(HttpHeader.CONTENT_TYPE.asString(), "application/json");
    sendBytes(status, bytes);
  }

  /** Answers with a status and a body. */
  void sendBytes(int status, byte[] body) {
    synchronized (this) {
      if (committed) {
        return;
      }
      committed = true;
      response.setStatus(status);
    }
    writer.write(ByteBuffer.wrap(body), true);
  }

  /** Answers that the request has not run. */
  void sendNotRun(int status, NotRun refusal) {
    sendError(
        status,
        RunVerdict.NOT_RUN,
        refusal.reason(),
        refusal.message(),
        refusal.retryAfterMillis());
  }

  /** Answers with a failed outcome. */
  void sendFailure(Outcome outcome) {
    sendError(
        outcome.getStatus() == 0 ? HttpStatus.BAD_GATEWAY_502 : outcome.getStatus(),
        outcome.getVerdict(),
        outcome.getReason(),
        outcome.getMessage(),
        outcome.getRetryAfterMs());
  }

  /** Sets the verdict header. */
  void setVerdict(RunVerdict verdict) {
    setHeader(Headers.VERDICT, verdictText(verdict));
  }

  /** Returns whether the caller is gone. */
  boolean isBroken() {
    return writer.isBroken();
  }

  /** Returns whether a part of the answer has gone out. */
  synchronized boolean isCommitted() {
    return committed;
  }

  private void sendError(
      int status, RunVerdict verdict, String reason, String message, long retryAfterMillis) {
    Map<String, Object> error = new LinkedHashMap<>();
    error.put("type", reason);
    error.put("message", message);
    error.put("verdict", verdictText(verdict));
    if (retryAfterMillis > 0) {
      error.put("retry_after_ms", retryAfterMillis);
      long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      setHeader(HttpHeader.RETRY_AFTER.asString(), Long.toString(seconds));
      setHeader(Headers.RETRY_AFTER_MILLIS, Long.toString(retryAfterMillis));
    }
    if (isCommitted()) {
      // The status line is gone already. Without the end marker the caller knows that this is not
      // the whole answer; the event says why.
      try {
        writer.write(serverSentEvent(MAPPER.writeValueAsBytes(Map.of("error", error))), true);
      } catch (JsonProcessingException e) {
        throw new IllegalStateException("an error object must be JSON", e);
      }
      return;
    }
    setVerdict(verdict);
    sendJson(status, Map.of("error", error));
  }

  private static ByteBuffer serverSentEvent(byte[] data) {
    byte[] prefix = "data: ".getBytes(StandardCharsets.UTF_8);
    ByteBuffer event = ByteBuffer.allocate(prefix.length + data.length + 2);
    return event.put(prefix).put(data).put((byte) '\n').put((byte) '\n').flip();
  }

  private static String verdictText(RunVerdict verdict) {
    return verdict.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
