package org.sequoiahub.standins;

import com.fasterxml.jackson.databind.JsonNode;

/** The faults that an engine stand-in has at the moment. */
final class EngineFaults {

  private int loadFailures;
  private int silentLoads;
  private boolean down;
  private boolean frozen;
  private boolean reorder;
  private boolean duplicate;
  private String answerAs = "";

  synchronized void apply(JsonNode wanted) {
    loadFailures = wanted.path("load_failures").asInt(loadFailures);
    silentLoads = wanted.path("silent_loads").asInt(silentLoads);
    down = wanted.path("down").asBoolean(down);
    frozen = wanted.path("frozen").asBoolean(frozen);
    reorder = wanted.path("reorder").asBoolean(reorder);
    duplicate = wanted.path("duplicate").asBoolean(duplicate);
    answerAs = wanted.path("answer_as").asText(answerAs);
  }

  synchronized boolean takeLoadFailure() {
    return loadFailures > 0 && loadFailures-- > 0;
  }

  synchronized boolean takeSilentLoad() {
    return silentLoads > 0 && silentLoads-- > 0;
  }

  synchronized boolean isDown() {
    return down;
  }

  synchronized boolean isFrozen() {
    return frozen;
  }

  synchronized boolean reorders() {
    return reorder;
  }

  synchronized boolean duplicates() {
    return duplicate;
  }

  synchronized String answerAs(String model) {
    return answerAs.isEmpty() ? model : answerAs;
  }
}
