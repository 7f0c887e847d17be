package org.sequoiahub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.StringJoiner;

/** Prints the state of processes, one line each, and what they own. */
final class StatusCommand implements Command {

  @Override
  public int run(List<String> arguments, PrintStream out) throws Exception {
    if (arguments.isEmpty()) {
      throw new UsageException("at least one ADMIN is wanted");
    }
    int unread = 0;
    try (AdminReader reader = new AdminReader()) {
      for (String admin : arguments) {
        try {
          printStatus(admin, reader.read(admin, "/status"), out);
        } catch (IOException e) {
          unread++;
          out.println("admin=" + admin + " error=\"" + e.getMessage() + "\"");
        }
      }
    }
    return unread == 0 ? 0 : 1;
  }

  private static void printStatus(String admin, JsonNode status, PrintStream out) {
    out.println("admin=" + admin + " " + formatValueFields(status));
    for (JsonNode runner : status.path("runners")) {
      out.println("  " + formatValueFields(runner));
      runner
          .path("slots")
          .fields()
          .forEachRemaining(
              slot ->
                  out.println(
                      "    adapter=" + slot.getKey() + " slot=" + slot.getValue().asText()));
    }
    for (JsonNode refused : status.path("refused")) {
      out.println("  refused " + refused);
    }
  }

  static String formatValueFields(JsonNode object) {
    StringJoiner line = new StringJoiner(" ");
    object
        .fields()
        .forEachRemaining(
            field -> {
              if (field.getValue().isValueNode()) {
                line.add(field.getKey() + "=" + field.getValue().asText());
              }
            });
    return line.toString();
  }
}
