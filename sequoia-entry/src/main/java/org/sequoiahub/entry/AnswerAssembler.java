package org.sequoiahub.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Assembles the events of a streamed answer into the answer to a non-streamed call. */
final class AnswerAssembler {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final boolean chat;
  private final Map<Integer, Choice> choices = new TreeMap<>();
  private @Nullable JsonNode lastEvent;
  private @Nullable JsonNode usage;

  AnswerAssembler(boolean chat) {
    this.chat = chat;
  }

  /**
   * Adds the next event of the stream.
   *
   * @throws IllegalArgumentException if the event is not JSON
   */
  void add(byte[] event) {
    JsonNode node;
    try {
      node = MAPPER.readTree(event);
    } catch (IOException e) {
      throw new IllegalArgumentException("event must be JSON", e);
    }
    lastEvent = node;
    if (node.has("usage")) {
      usage = node.get("usage");
    }
    for (JsonNode item : node.path("choices")) {
      Choice choice = choices.computeIfAbsent(item.path("index").asInt(0), i -> new Choice());
      choice.text.append(
          chat ? item.path("delta").path("content").asText("") : item.path("text").asText(""));
      if (item.hasNonNull("finish_reason")) {
        choice.finishReason = item.get("finish_reason").asText();
      }
    }
  }

  /** Returns the assembled answer as JSON. */
  byte[] answer() {
    ObjectNode answer = MAPPER.createObjectNode();
    if (lastEvent != null) {
      answer.put("id", lastEvent.path("id").asText());
      answer.put("model", lastEvent.path("model").asText());
    }
    answer.put("object", chat ? "chat.completion" : "text_completion");
    ArrayNode list = answer.putArray("choices");
    choices.forEach((index, choice) -> list.add(choice.toJson(index, chat)));
    if (usage != null) {
      answer.set("usage", usage);
    }
    try {
      return MAPPER.writeValueAsBytes(answer);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the assembled answer as JSON", e);
    }
  }

  private static final class Choice {
    private final StringBuilder text = new StringBuilder();
    private @Nullable String finishReason;

    ObjectNode toJson(int index, boolean chat) {
      ObjectNode node = MAPPER.createObjectNode();
      node.put("index", index);
      if (chat) {
        ObjectNode message = node.putObject("message");
        message.put("role", "assistant").put("content", text.toString());
      } else {
        node.put("text", text.toString());
      }
      node.put("finish_reason", finishReason);
      return node;
    }
  }
}
