package org.sequoiahub.entry;

import java.util.Map;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Update;

/** What the entry's duty is told. */
sealed interface EntryEvent {

  /**
   * A caller asks for an inference.
   *
   * @param path the OpenAI-compatible path
   * @param body the parsed body
   */
  record Inference(String path, InferenceBody body, CallerContext caller) implements EntryEvent {}

  /** A caller calls a plain service. */
  record Service(
      String service,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      String operationId,
      CallerContext caller)
      implements EntryEvent {}

  /** A caller asks which address to use. */
  record Address(int operationIdCount, CallerContext caller) implements EntryEvent {}

  /** The watcher sent news. */
  record ViewUpdated(Update update) implements EntryEvent {}

  /** A dispatcher sent a message of attempt {@code attempt} of a flight. */
  record MessageReceived(long requestNumber, int attempt, Envelope message) implements EntryEvent {}

  /** The connection of an attempt is gone. */
  record ConnectionLost(long requestNumber, int attempt, boolean handedOn) implements EntryEvent {}

  /** Work that a single-answer call left for the duty. */
  record CallCompleted(Runnable handler) implements EntryEvent {}

  /** The process is asked to stop. */
  record Stop(Runnable onDrained) implements EntryEvent {}
}
