package org.sequoiahub.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/**
 * Prints on which runners an adapter's versions occupy a slot, as reported by the dispatchers that
 * own the runners.
 */
final class ExplainCommand implements Command {

  @Override
  public int run(List<String> arguments, PrintStream out) throws Exception {
    if (arguments.size() < 2) {
      throw new UsageException(
          "expected an ADAPTER and the ADMIN address of at least one dispatcher");
    }
    String adapter = arguments.get(0);
    int unreadable = 0;
    int found = 0;
    try (AdminReader reader = new AdminReader()) {
      for (String admin : arguments.subList(1, arguments.size())) {
        try {
          found += printSlots(adapter, reader.read(admin, "/status"), out);
        } catch (IOException e) {
          unreadable++;
          out.println("admin=" + admin + " error=\"" + e.getMessage() + "\"");
        }
      }
    }
    if (found == 0) {
      out.println(
          "adapter="
              + adapter
              + " is not loaded on any runner that these dispatchers report: its next request");
      out.println("  loads it on its first candidate runner");
    }
    return unreadable == 0 ? 0 : 1;
  }

  private static int printSlots(String adapter, JsonNode status, PrintStream out) {
    int found = 0;
    for (JsonNode runner : status.path("runners")) {
      for (Map.Entry<String, JsonNode> slot : runner.path("slots").properties()) {
        if (slot.getKey().equals(adapter) || slot.getKey().startsWith(adapter + "@")) {
          found++;
          out.println(
              "adapter="
                  + slot.getKey()
                  + " runner="
                  + runner.path("runner").asText()
                  + " slot="
                  + slot.getValue().asText()
                  + " owner="
                  + status.path("host").asText()
                  + " authority="
                  + runner.path("authority").asText()
                  + " queued="
                  + runner.path("queued").asText()
                  + " running="
                  + runner.path("running").asText());
        }
      }
    }
    return found;
  }
}
