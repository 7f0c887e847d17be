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

/** One request inside an engine stand-in; guarded by the engine's lock. */
final class EngineRequest {

  private final String id;
  private final String model;
  private final int tokens;
  private final boolean chat;
  private final boolean urgent;
  private final EngineFaults faults;
  private final List<Reader> readers = new ArrayList<>();
  private long nextTokenMillis = -1;
  private int made;
  private boolean over;
  private long endedMillis = Long.MAX_VALUE;

  EngineRequest(
      String id, String model, int tokens, boolean chat, boolean urgent, EngineFaults faults) {
    this.id = id;
    this.model = model;
    this.tokens = tokens;
    this.chat = chat;
    this.urgent = urgent;
    this.faults = faults;
  }

  String id() {
    return id;
  }

  String model() {
    return model;
  }

  boolean isUrgent() {
    return urgent;
  }

  boolean isActive() {
    return !over;
  }

  boolean isRunning() {
    return nextTokenMillis >= 0;
  }

  void run(long firstTokenMillis) {
    nextTokenMillis = firstTokenMillis;
  }

  /** Makes the next token if it is due. */
  void step(long nowMillis) {
    if (over || nextTokenMillis < 0 || nowMillis < nextTokenMillis) {
      return;
    }
    made++;
    if (made == tokens) {
      over = true;
      endedMillis = nowMillis;
    }
    readers.forEach(this::feed);
  }

  void attach(Exchange exchange, int after) {
    exchange.response().setStatus(200);
    exchange.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    Reader reader = new Reader(new ChunkWriter(exchange.response(), exchange.callback()), after);
    reader.writer.write(ByteBuffer.wrap(": open\n\n".getBytes(StandardCharsets.UTF_8)), false);
    readers.add(reader);
    feed(reader);
  }

  void cancel() {
    if (!over) {
      breakOff();
    }
  }

  /** Ends the request without its end marker. */
  void breakOff() {
    over = true;
    endedMillis = 0;
    readers.forEach(reader -> reader.writer.abort(new IOException("broken off")));
    readers.clear();
  }

  /** Lets every open connection go silent; later ones work. */
  void silence() {
    readers.clear();
  }

  boolean endedBefore(long millis) {
    return over && endedMillis < millis;
  }

  private void feed(Reader reader) {
    List<Integer> due = new ArrayList<>();
    for (int i = reader.sent + 1; i <= made; i++) {
      due.add(i);
    }
    reader.sent = Math.max(reader.sent, made);
    if (faults.reorders() && due.size() > 1) {
      Collections.reverse(due);
    }
    for (int i : due) {
      reader.writer.write(event(i), false);
      if (faults.duplicates()) {
        reader.writer.write(event(i), false);
      }
    }
    if (over && made == tokens && !reader.ended) {
      reader.ended = true;
      reader.writer.write(sse("[DONE]"), true);
    }
  }

  private ByteBuffer event(int sequence) {
    String named = faults.answerAs(model);
    final String text = "[" + named + ":" + sequence + "/" + tokens + "]";
    ObjectNode event = StandinServer.MAPPER.createObjectNode();
    event.put("id", id).put("model", named).put("seq", sequence);
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
      throw new IllegalStateException("an event must be JSON", e);
    }
  }

  private static ByteBuffer sse(String data) {
    return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
  }

  private static final class Reader {
    private final ChunkWriter writer;
    private int sent;
    private boolean ended;

    Reader(ChunkWriter writer, int after) {
      this.writer = writer;
      this.sent = after;
    }
  }
}
