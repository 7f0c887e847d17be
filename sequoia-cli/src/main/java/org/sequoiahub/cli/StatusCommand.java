package org.sequoiahub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.StringJoiner;

/**
 * Prints the state of processes, one line each, followed by the runners, slots and refused records
 * that the process reports.
 */
final class StatusCommand implements Command {

  @Override
  public int run(List<String> arguments, PrintStream out) throws Exception {
    if (arguments.isEmpty()) {
      throw new UsageException("expected at least one ADMIN address");
    }
    int unreadable = 0;
    try (AdminReader reader = new AdminReader()) {
      for (String admin : arguments) {
        try {
          printStatus(admin, reader.read(admin, "/status"), out);
        } catch (IOException e) {
          unreadable++;
          out.println("admin=" + admin + " error=\"" + e.getMessage() + "\"");
        }
      }
    }
    return unreadable == 0 ? 0 : 1;
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

  /** Returns the scalar fields of an object as {@code name=value} pairs. */
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
