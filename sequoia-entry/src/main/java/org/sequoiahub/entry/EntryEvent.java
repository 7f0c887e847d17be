package org.sequoiahub.entry;

import java.util.Map;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Update;

/** An event handled by {@link EntryDuty}. */
sealed interface EntryEvent {

  /**
   * A caller requested an inference.
   *
   * @param path the OpenAI-compatible path
   * @param body the parsed body
   */
  record Inference(String path, InferenceBody body, CallerContext caller) implements EntryEvent {}

  /** A caller called a service. */
  record Service(
      String service,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      String operationId,
      CallerContext caller)
      implements EntryEvent {}

  /**
   * A caller requested the addresses to use.
   *
   * @param operationIdCount the number of operation ids to issue along with them
   */
  record Address(int operationIdCount, CallerContext caller) implements EntryEvent {}

  /** The watcher sent an update of the view. */
  record ViewUpdated(Update update) implements EntryEvent {}

  /** A dispatcher sent a message for an attempt of an inference request. */
  record MessageReceived(long requestNumber, int attempt, Envelope message) implements EntryEvent {}

  /** The connection of an attempt was lost. */
  record ConnectionLost(long requestNumber, int attempt, boolean handedOn) implements EntryEvent {}

  /** A call with a single answer completed or failed; the handler runs on the duty's thread. */
  record CallCompleted(Runnable handler) implements EntryEvent {}

  /**
   * The process was requested to stop.
   *
   * @param onDrained run once no request is in progress
   */
  record Stop(Runnable onDrained) implements EntryEvent {}
}
