package org.sequoiahub.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.sequoiahub.runtime.http.ChunkWriter;
import org.sequoiahub.standins.StandinServer.Exchange;

/**
 * A completion request that an {@link EngineStandin} runs, and the streams that read it.
 *
 * <p>Not thread-safe: the engine's lock guards it.
 */
final class EngineRequest {

  private final String id;
  private final String model;
  private final int tokens;
  private final boolean chat;
  private final boolean highPriority;
  private final EngineFaults faults;
  private final List<Reader> readers = new ArrayList<>();
  private long nextTokenMillis = -1;
  private int generatedTokens;
  private boolean ended;
  private long endedMillis = Long.MAX_VALUE;

  EngineRequest(
      String id, String model, int tokens, boolean chat, boolean urgent, EngineFaults faults) {
    this.id = id;
    this.model = model;
    this.tokens = tokens;
    this.chat = chat;
    this.highPriority = urgent;
    this.faults = faults;
  }

  String id() {
    return id;
  }

  String model() {
    return model;
  }

  boolean isHighPriority() {
    return highPriority;
  }

  boolean isActive() {
    return !ended;
  }

  boolean isRunning() {
    return nextTokenMillis >= 0;
  }

  void start(long firstTokenMillis) {
    nextTokenMillis = firstTokenMillis;
  }

  /** Generates the next token if it is due and sends it to every attached reader. */
  void generateTokenIfDue(long nowMillis) {
    if (ended || nextTokenMillis < 0 || nowMillis < nextTokenMillis) {
      return;
    }
    generatedTokens++;
    if (generatedTokens == tokens) {
      ended = true;
      endedMillis = nowMillis;
    }
    readers.forEach(this::sendPendingEvents);
  }

  /**
   * Opens an event stream on this request.
   *
   * @param after the sequence number of the last event that the reader already has; 0 for none
   */
  void attachReader(Exchange exchange, int after) {
    exchange.response().setStatus(200);
    exchange.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    Reader reader = new Reader(new ChunkWriter(exchange.response(), exchange.callback()), after);
    reader.writer.write(ByteBuffer.wrap(": open\n\n".getBytes(StandardCharsets.UTF_8)), false);
    readers.add(reader);
    sendPendingEvents(reader);
  }

  void cancel() {
    if (!ended) {
      abort();
    }
  }

  /** Ends the request and aborts its streams without the end marker. */
  void abort() {
    ended = true;
    endedMillis = 0;
    readers.forEach(
        reader -> reader.writer.abort(new IOException("stream aborted by the engine stand-in")));
    readers.clear();
  }

  /** Stops sending on every open stream without closing it; streams opened later work. */
  void detachReaders() {
    readers.clear();
  }

  boolean endedBefore(long millis) {
    return ended && endedMillis < millis;
  }

  private void sendPendingEvents(Reader reader) {
    List<Integer> pending = new ArrayList<>();
    for (int i = reader.lastSent + 1; i <= generatedTokens; i++) {
      pending.add(i);
    }
    reader.lastSent = Math.max(reader.lastSent, generatedTokens);
    if (faults.reordersEvents() && pending.size() > 1) {
      Collections.reverse(pending);
    }
    for (int i : pending) {
      reader.writer.write(tokenEvent(i), false);
      if (faults.duplicatesEvents()) {
        reader.writer.write(tokenEvent(i), false);
      }
    }
    if (ended && generatedTokens == tokens && !reader.ended) {
      reader.ended = true;
      reader.writer.write(sse("[DONE]"), true);
    }
  }

  private ByteBuffer tokenEvent(int sequence) {
    String reported = faults.reportedModel(model);
    final String text = "[" + reported + ":" + sequence + "/" + tokens + "]";
    ObjectNode event = StandinServer.MAPPER.createObjectNode();
    event.put("id", id).put("model", reported).put("seq", sequence);
    event.put("object", chat ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = event.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", sequence == tokens ? "length" : null);
    try {
      return sse(StandinServer.MAPPER.writeValueAsString(event));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not serialize a token event", e);
    }
  }

  private static ByteBuffer sse(String data) {
    return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
  }

  private static final class Reader {
    private final ChunkWriter writer;
    private int lastSent;
    private boolean ended;

    Reader(ChunkWriter writer, int after) {
      this.writer = writer;
      this.lastSent = after;
    }
  }
}
