package org.sequoiahub.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/** One connection that carries the events of an engine's answer. */
public final class EngineStream {

  private static final byte[] END_MARKER = "[DONE]".getBytes(UTF_8);

  private final Request request;
  private final ObjectMapper mapper;
  private final Listener listener;
  private final EventStreamDecoder lines = new EventStreamDecoder();
  private int status;
  private long lastSequence;
  private boolean ended;
  private final StringBuilder errorBody = new StringBuilder();

  private EngineStream(Request request, ObjectMapper mapper, Listener listener) {
    this.request = request;
    this.mapper = mapper;
    this.listener = listener;
  }

  /** Receives the events of an answer, on an HTTP client thread. */
  public interface Listener {
    /**
     * Receives one event.
     *
     * @param sequence its number, from 1
     * @param model the exact name that the engine says it ran
     * @param data its JSON
     */
    void onChunk(long sequence, String model, byte[] data);

    /** Told of the engine's end marker: the answer has {@code chunks} chunks. */
    void onEnd(long chunks);

    /** Told that the engine refused the request: it has not run and will not. */
    void onRefused(int status, String message);

    /** Told that the connection is gone without an end marker: the request may still run. */
    void onBroken(String why);
  }

  static EngineStream open(Request request, ObjectMapper mapper, Listener listener) {
    EngineStream stream = new EngineStream(request, mapper, listener);
    request
        .onResponseBegin(response -> stream.status = response.getStatus())
        .onResponseContent((Response response, ByteBuffer content) -> stream.content(content))
        .send(stream::complete);
    return stream;
  }

  /** Gives the connection up; the engine is not told. */
  public void abandon() {
    request.abort(new IOException("abandoned"));
  }

  private void content(ByteBuffer content) {
    if (status != HttpStatus.OK_200) {
      errorBody.append(UTF_8.decode(content));
      return;
    }
    for (byte[] data : lines.decode(content)) {
      event(data);
    }
  }

  private void event(byte[] data) {
    if (Arrays.equals(data, END_MARKER)) {
      if (lastSequence > 0) {
        ended = true;
        listener.onEnd(lastSequence);
      }
      return;
    }
    JsonNode json;
    try {
      json = mapper.readTree(data);
    } catch (IOException e) {
      request.abort(new IOException("an event is not JSON", e));
      return;
    }
    long sequence = json.path("seq").longValue();
    if (isLast(json)) {
      lastSequence = sequence;
    }
    if (sequence > 0) {
      listener.onChunk(sequence, json.path("model").asText(), data);
    }
  }

  /**
   * Returns whether this is the answer's last event. The end marker counts only after it: were the
   * last event lost, the marker alone would make a cut answer look whole.
   */
  private static boolean isLast(JsonNode event) {
    JsonNode choices = event.path("choices");
    if (choices.isEmpty()) {
      return false;
    }
    for (JsonNode choice : choices) {
      if (!choice.hasNonNull("finish_reason")) {
        return false;
      }
    }
    return true;
  }

  private void complete(Result result) {
    if (ended) {
      return;
    }
    @Nullable Throwable failure = result.getFailure();
    if (failure == null
        && status >= HttpStatus.BAD_REQUEST_400
        && status != HttpStatus.INTERNAL_SERVER_ERROR_500) {
      listener.onRefused(status, errorBody.toString());
    } else {
      listener.onBroken(failure == null ? "the answer ended without its end marker" : "" + failure);
    }
  }
}
