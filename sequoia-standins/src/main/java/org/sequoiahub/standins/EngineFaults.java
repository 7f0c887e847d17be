package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;

/** The faults that an engine stand-in has at the moment. */
final class EngineFaults {

  private int loadFailures;
  private int silentLoads;
  private boolean down;
  private boolean frozen;
  private boolean reordersEvents;
  private boolean duplicatesEvents;
  private String reportedModel = "";

  synchronized void apply(JsonNode wanted) {
    loadFailures = wanted.path("load_failures").asInt(loadFailures);
    silentLoads = wanted.path("silent_loads").asInt(silentLoads);
    down = wanted.path("down").asBoolean(down);
    frozen = wanted.path("frozen").asBoolean(frozen);
    reordersEvents = wanted.path("reorder").asBoolean(reordersEvents);
    duplicatesEvents = wanted.path("duplicate").asBoolean(duplicatesEvents);
    reportedModel = wanted.path("answer_as").asText(reportedModel);
  }

  synchronized boolean consumeLoadFailure() {
    return loadFailures > 0 && loadFailures-- > 0;
  }

  synchronized boolean consumeSilentLoad() {
    return silentLoads > 0 && silentLoads-- > 0;
  }

  synchronized boolean isDown() {
    return down;
  }

  synchronized boolean isFrozen() {
    return frozen;
  }

  synchronized boolean reordersEvents() {
    return reordersEvents;
  }

  synchronized boolean duplicatesEvents() {
    return duplicatesEvents;
  }

  synchronized String reportedModel(String model) {
    return reportedModel.isEmpty() ? model : reportedModel;
  }
}
