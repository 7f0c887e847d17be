package org.sequoiahub.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.sequoiahub.core.record.AdapterVersion;

/** The validated JSON body of an inference request. */
final class InferenceBody {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

  private final ObjectNode json;
  private final String model;
  private final boolean stream;

  private InferenceBody(ObjectNode json, String model, boolean stream) {
    this.json = json;
    this.model = model;
    this.stream = stream;
  }

  /**
   * Parses and validates a body.
   *
   * @throws IllegalArgumentException if the body is invalid; the message names the field
   */
  static InferenceBody parse(byte[] bytes) {
    JsonNode node;
    try {
      node = MAPPER.readTree(bytes);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("the body must be JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("the body must be UTF-8 JSON", e);
    }
    if (!(node instanceof ObjectNode object)) {
      throw new IllegalArgumentException("the body must be a JSON object");
    }
    JsonNode model = object.path("model");
    if (!model.isTextual() || model.textValue().isEmpty()) {
      throw new IllegalArgumentException(
          "model: must be a string of the form adapter or adapter@version");
    }
    JsonNode stream = object.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw new IllegalArgumentException("stream: must be true or false");
    }
    boolean hasInput = object.path("prompt").isTextual() || object.path("messages").isArray();
    if (!hasInput) {
      throw new IllegalArgumentException("prompt or messages: one of them is required");
    }
    return new InferenceBody(object, model.textValue(), stream.asBoolean(false));
  }

  String model() {
    return model;
  }

  boolean wantsStream() {
    return stream;
  }

  /** Returns the body for the engine, with the adapter's exact name and streaming enabled. */
  byte[] forEngine(AdapterVersion adapter) {
    ObjectNode copy = json.deepCopy();
    copy.put("model", adapter.exactName());
    copy.put("stream", true);
    try {
      return MAPPER.writeValueAsBytes(copy);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the parsed request body as JSON", e);
    }
  }
}
