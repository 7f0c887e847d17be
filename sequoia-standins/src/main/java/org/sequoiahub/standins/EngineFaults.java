package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;

/** The faults that are currently injected into an {@link EngineStandin}. Thread-safe. */
final class EngineFaults {

  private int loadFailures;
  private int silentLoads;
  private boolean down;
  private boolean frozen;
  private boolean reordersEvents;
  private boolean duplicatesEvents;
  private String reportedModel = "";

  /** Applies the faults that are present in {@code requested}; the others stay as they are. */
  synchronized void apply(JsonNode requested) {
    loadFailures = requested.path("load_failures").asInt(loadFailures);
    silentLoads = requested.path("silent_loads").asInt(silentLoads);
    down = requested.path("down").asBoolean(down);
    frozen = requested.path("frozen").asBoolean(frozen);
    reordersEvents = requested.path("reorder").asBoolean(reordersEvents);
    duplicatesEvents = requested.path("duplicate").asBoolean(duplicatesEvents);
    reportedModel = requested.path("answer_as").asText(reportedModel);
  }

  /** Returns whether a load is to fail, and counts it against the requested number. */
  synchronized boolean consumeLoadFailure() {
    return loadFailures > 0 && loadFailures-- > 0;
  }

  /** Returns whether a load is to stay unanswered, and counts it against the requested number. */
  synchronized boolean consumeSilentLoad() {
    return silentLoads > 0 && silentLoads-- > 0;
  }

  /** Returns whether connections are closed without a response. */
  synchronized boolean isDown() {
    return down;
  }

  /** Returns whether requests are accepted but generate no tokens. */
  synchronized boolean isFrozen() {
    return frozen;
  }

  synchronized boolean reordersEvents() {
    return reordersEvents;
  }

  synchronized boolean duplicatesEvents() {
    return duplicatesEvents;
  }

  /** Returns the model name to report in place of {@code model}. */
  synchronized String reportedModel(String model) {
    return reportedModel.isEmpty() ? model : reportedModel;
  }
}
