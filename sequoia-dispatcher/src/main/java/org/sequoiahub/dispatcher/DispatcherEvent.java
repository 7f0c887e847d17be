package org.sequoiahub.dispatcher;

import java.util.Map;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.runner.EngineReport;
import org.sequoiahub.platform.EngineClient.OrderResponse;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Update;
import org.sequoiahub.wire.WireConnection;

/** An event that the dispatcher's duty handles. */
sealed interface DispatcherEvent {

  /** The watcher sent an update of the fleet or of its records. */
  record ViewUpdated(Update update) implements DispatcherEvent {}

  /** An entry or another dispatcher sent a message. */
  record MessageReceived(WireConnection connection, Envelope message) implements DispatcherEvent {}

  /** A connection was closed. */
  record ConnectionClosed(WireConnection connection) implements DispatcherEvent {}

  /** An engine answered a claim of authority. */
  record ClaimAnswered(String runner, long fencingNumber, long sentMillis, OrderResponse answer)
      implements DispatcherEvent {}

  /** A host answered a lease request, or the connection to it was lost. */
  record LeaseAnswered(String runner, String host, long sentMillis, boolean granted)
      implements DispatcherEvent {}

  /** An engine answered a load order. */
  record LoadAnswered(
      String runner, AdapterVersion adapter, long fencingNumber, OrderResponse answer)
      implements DispatcherEvent {}

  /** An engine answered an eviction order. */
  record UnloadAnswered(
      String runner, AdapterVersion adapter, long fencingNumber, OrderResponse answer)
      implements DispatcherEvent {}

  /** A load turn was granted, or the dispatcher that keeps the turns cannot be reached. */
  record LoadTurnAnswered(String runner, AdapterVersion adapter, boolean granted)
      implements DispatcherEvent {}

  /** An engine's report was received. */
  record ReportReceived(String runner, EngineReport report) implements DispatcherEvent {}

  /** An engine's report could not be read. */
  record ReportFailed(String runner, String reason) implements DispatcherEvent {}

  /** An engine sent a chunk on the stream with number {@code stream} of a job. */
  record ChunkReceived(String request, int stream, long sequence, String model, byte[] data)
      implements DispatcherEvent {}

  /** An engine sent the end marker of a response. */
  record EndReceived(String request, int stream, long chunks) implements DispatcherEvent {}

  /** An engine refused a request. */
  record StartRefused(String request, int stream, int status, String message)
      implements DispatcherEvent {}

  /** A stream ended without an end marker. */
  record StreamFailed(String request, int stream, String reason) implements DispatcherEvent {}

  /** An engine confirmed a cancellation, or failed to. */
  record CancelAnswered(String request, boolean confirmed) implements DispatcherEvent {}

  /** An upstream answered a service call. */
  record ServiceAnswered(long job, int status, Map<String, String> headers, byte[] body)
      implements DispatcherEvent {}

  /** A service call failed. */
  record ServiceFailed(long job, boolean sent, String reason) implements DispatcherEvent {}

  /** The process is to stop; {@code onDrained} runs once no request is in progress. */
  record Stop(Runnable onDrained) implements DispatcherEvent {}
}
