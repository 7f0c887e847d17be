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

/** Reads the event stream of an engine's response to one request, over one connection. */
public final class EngineStream {

  private static final byte[] END_MARKER = "[DONE]".getBytes(UTF_8);

  private final Request request;
  private final ObjectMapper mapper;
  private final Listener listener;
  private final EventStreamDecoder decoder = new EventStreamDecoder();
  private int status;
  private long lastSequence;
  private boolean ended;
  private final StringBuilder errorBody = new StringBuilder();

  private EngineStream(Request request, ObjectMapper mapper, Listener listener) {
    this.request = request;
    this.mapper = mapper;
    this.listener = listener;
  }

  /** Receives the events of a response, on an HTTP client thread. */
  public interface Listener {
    /**
     * Receives one event.
     *
     * @param sequence the event's sequence number, starting at 1
     * @param model the exact name of the adapter version that the engine reports to have run
     * @param data the event's JSON
     */
    void onChunk(long sequence, String model, byte[] data);

    /** Called on the engine's end marker: the response is complete with {@code chunks} chunks. */
    void onEnd(long chunks);

    /** Called if the engine refused the request, which has not run and will not run. */
    void onRefused(int status, String message);

    /** Called if the connection ended without an end marker: the request may still be running. */
    void onBroken(String reason);
  }

  static EngineStream open(Request request, ObjectMapper mapper, Listener listener) {
    EngineStream stream = new EngineStream(request, mapper, listener);
    request
        .onResponseBegin(response -> stream.status = response.getStatus())
        .onResponseContent((Response response, ByteBuffer content) -> stream.onContent(content))
        .send(stream::onComplete);
    return stream;
  }

  /** Closes the connection without cancelling the request at the engine. */
  public void abandon() {
    request.abort(new IOException("abandoned"));
  }

  private void onContent(ByteBuffer content) {
    if (status != HttpStatus.OK_200) {
      errorBody.append(UTF_8.decode(content));
      return;
    }
    for (byte[] data : decoder.decode(content)) {
      onEvent(data);
    }
  }

  private void onEvent(byte[] data) {
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
      request.abort(new IOException("cannot parse an event of the stream as JSON", e));
      return;
    }
    long sequence = json.path("seq").longValue();
    if (isLastEvent(json)) {
      lastSequence = sequence;
    }
    if (sequence > 0) {
      listener.onChunk(sequence, json.path("model").asText(), data);
    }
  }

  /**
   * Returns whether this is the last event of the response.
   *
   * <p>The end marker is accepted only after this event. If the event were lost, the marker alone
   * would make a truncated response look complete.
   */
  private static boolean isLastEvent(JsonNode event) {
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

  private void onComplete(Result result) {
    if (ended) {
      return;
    }
    @Nullable Throwable failure = result.getFailure();
    if (failure == null
        && status >= HttpStatus.BAD_REQUEST_400
        && status != HttpStatus.INTERNAL_SERVER_ERROR_500) {
      listener.onRefused(status, errorBody.toString());
    } else {
      listener.onBroken(
          failure == null ? "the response ended without the end marker" : "" + failure);
    }
  }
}
