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
import org.sequoiahub.runtime.http.ChunkWriter;
import org.sequoiahub.schema.wire.Outcome;
import org.sequoiahub.schema.wire.RunVerdict;

/**
 * Writes the answer to one request of a caller, whole or as a stream of events.
 *
 * <p>Safe for use by several threads; pieces are sent in the order of the method invocations.
 *
 * @see ChunkWriter
 */
final class Reply {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Response response;
  private final ChunkWriter writer;
  private boolean committed;

  Reply(Response response, Callback callback) {
    this.response = response;
    this.writer = new ChunkWriter(response, callback);
  }

  /** Sets a header. Has no effect once the answer is committed. */
  synchronized void setHeader(String name, String value) {
    if (!committed) {
      response.getHeaders().put(name, value);
    }
  }

  /**
   * Sends one server-sent event.
   *
   * @return false if the answer is closed, or the caller is gone or reads too slowly
   */
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

  /** Ends a streamed answer with the marker that tells the caller it is complete. */
  void completeEvents() {
    writer.write(serverSentEvent("[DONE]".getBytes(StandardCharsets.UTF_8)), true);
  }

  /** Sends a JSON answer. Has no effect once the answer is committed. */
  void sendJson(int status, Object body) {
    byte[] bytes;
    try {
      bytes = body instanceof byte[] raw ? raw : MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body must be serializable as JSON", e);
    }
    setHeader(HttpHeader.CONTENT_TYPE.asString(), "application/json");
    sendBytes(status, bytes);
  }

  /** Sends an answer with a status and a body. Has no effect once the answer is committed. */
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

  /** Sends an error that states that the request has not run. */
  void sendNotRun(int status, NotRun refusal) {
    sendError(
        status,
        RunVerdict.NOT_RUN,
        refusal.reason(),
        refusal.message(),
        refusal.retryAfterMillis());
  }

  /** Sends the error for a failed outcome. */
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

  /** Returns whether the caller is gone or was cut off for reading too slowly. */
  boolean isBroken() {
    return writer.isAborted();
  }

  /** Returns whether the status line is sent or about to be, so that it can no longer change. */
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
      // The status line can no longer change. The missing end marker tells the caller that the
      // answer is incomplete; the event states why.
      try {
        writer.write(serverSentEvent(MAPPER.writeValueAsBytes(Map.of("error", error))), true);
      } catch (JsonProcessingException e) {
        throw new IllegalStateException("cannot serialize the error object as JSON", e);
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
