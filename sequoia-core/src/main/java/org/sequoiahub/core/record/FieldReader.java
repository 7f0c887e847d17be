package org.sequoiahub.core.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Reads typed fields of one JSON object and collects what is wrong with them. */
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

  /** Returns the field's name, or an empty text after noting a problem. */
  String name(String field) {
    JsonNode node = object.get(field);
    if (node == null) {
      addProblem(field, "is missing");
      return "";
    }
    return validName(field, node);
  }

  String name(String field, String absent) {
    JsonNode node = object.get(field);
    return node == null ? absent : validName(field, node);
  }

  int integer(String field, int absent, int min, int max) {
    JsonNode node = object.get(field);
    if (node == null) {
      return absent;
    }
    if (!node.canConvertToInt() || !node.isIntegralNumber()) {
      addProblem(field, "must be a whole number from " + min + " to " + max);
      return absent;
    }
    if (node.intValue() < min || node.intValue() > max) {
      addProblem(field, "must be from " + min + " to " + max + ", was " + node.intValue());
      return absent;
    }
    return node.intValue();
  }

  String oneOf(String field, String absent, List<String> allowed) {
    JsonNode node = object.get(field);
    if (node == null) {
      return absent;
    }
    if (!node.isTextual() || !allowed.contains(node.textValue())) {
      addProblem(field, "must be one of " + allowed + ", was " + node);
      return absent;
    }
    return node.textValue();
  }

  /** Returns readers of the objects in an array field; empty after noting a problem. */
  List<FieldReader> objects(String field) {
    JsonNode node = object.get(field);
    if (node == null || !node.isArray() || node.isEmpty()) {
      addProblem(field, "must be an array of at least one object");
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

  List<String> strings(String field, List<String> absent, List<String> allowed) {
    JsonNode node = object.get(field);
    if (node == null) {
      return absent;
    }
    if (!node.isArray()) {
      addProblem(field, "must be an array of texts");
      return absent;
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : node) {
      if (item.isTextual() && allowed.contains(item.textValue())) {
        texts.add(item.textValue());
      } else {
        addProblem(field, "may hold only " + allowed + ", was " + item);
      }
    }
    return texts;
  }

  private String validName(String field, JsonNode node) {
    @Nullable String text = node.textValue();
    if (text == null || !Names.isValid(text)) {
      addProblem(field, "must be a name (" + Names.FORMAT + "), was " + node);
      return "";
    }
    return text;
  }
}
