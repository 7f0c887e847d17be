package org.sequoiahub.core.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Reads typed fields of a JSON object and collects validation problems. */
final class FieldReader {

  private final String key;
  private final JsonNode object;
  private final String path;
  private final List<RecordProblem> problems;

  FieldReader(String key, JsonNode object) {
    this(key, object, "", new ArrayList<>());
  }

  private FieldReader(String key, JsonNode object, String path, List<RecordProblem> problems) {
    this.key = key;
    this.object = object;
    this.path = path;
    this.problems = problems;
  }

  List<RecordProblem> problems() {
    return problems;
  }

  void addProblem(String field, String reason) {
    problems.add(new RecordProblem(key, path + field, reason));
  }

  /** Returns the name in a required field, or an empty string after adding a problem. */
  String name(String field) {
    JsonNode node = object.get(field);
    if (node == null) {
      addProblem(field, "is missing");
      return "";
    }
    return validName(field, node);
  }

  String name(String field, String defaultValue) {
    JsonNode node = object.get(field);
    return node == null ? defaultValue : validName(field, node);
  }

  int integer(String field, int defaultValue, int min, int max) {
    JsonNode node = object.get(field);
    if (node == null) {
      return defaultValue;
    }
    if (!node.canConvertToInt() || !node.isIntegralNumber()) {
      addProblem(field, "must be an integer from " + min + " to " + max);
      return defaultValue;
    }
    if (node.intValue() < min || node.intValue() > max) {
      addProblem(field, "must be from " + min + " to " + max + ", was " + node.intValue());
      return defaultValue;
    }
    return node.intValue();
  }

  String oneOf(String field, String defaultValue, List<String> allowed) {
    JsonNode node = object.get(field);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isTextual() || !allowed.contains(node.textValue())) {
      addProblem(field, "must be one of " + allowed + ", was " + node);
      return defaultValue;
    }
    return node.textValue();
  }

  /** Returns readers of the objects in an array field, or an empty list after adding a problem. */
  List<FieldReader> objects(String field) {
    JsonNode node = object.get(field);
    if (node == null || !node.isArray() || node.isEmpty()) {
      addProblem(field, "must be a non-empty array of objects");
      return List.of();
    }
    List<FieldReader> readers = new ArrayList<>();
    for (int i = 0; i < node.size(); i++) {
      String itemPath = path + field + "[" + i + "]";
      if (node.get(i).isObject()) {
        readers.add(new FieldReader(key, node.get(i), itemPath + ".", problems));
      } else {
        problems.add(new RecordProblem(key, itemPath, "must be an object"));
      }
    }
    return readers;
  }

  List<String> strings(String field, List<String> defaultValue, List<String> allowed) {
    JsonNode node = object.get(field);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isArray()) {
      addProblem(field, "must be an array of strings");
      return defaultValue;
    }
    List<String> strings = new ArrayList<>();
    for (JsonNode item : node) {
      if (item.isTextual() && allowed.contains(item.textValue())) {
        strings.add(item.textValue());
      } else {
        addProblem(field, "may contain only " + allowed + ", was " + item);
      }
    }
    return strings;
  }

  private String validName(String field, JsonNode node) {
    @Nullable String text = node.textValue();
    if (text == null || !Names.isValid(text)) {
      addProblem(field, "must be a valid name (" + Names.FORMAT + "), was " + node);
      return "";
    }
    return text;
  }
}
