package org.sequoiahub.dispatcher;

import java.util.Map;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.runner.EngineReport;
import org.sequoiahub.platform.EngineClient.OrderResponse;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.Update;
import org.sequoiahub.wire.WireConnection;

/** What the dispatcher's duty is told. */
sealed interface DispatcherEvent {

  /** The watcher sent news. */
  record Viewed(Update update) implements DispatcherEvent {}

  /** An entry or another dispatcher sent a message. */
  record Received(WireConnection connection, Envelope message) implements DispatcherEvent {}

  /** A connection is gone. */
  record Closed(WireConnection connection) implements DispatcherEvent {}

  /** An engine answered a claim of authority. */
  record ClaimAnswered(String runner, long number, long sentMillis, OrderResponse answer)
      implements DispatcherEvent {}

  /** A host answered a lease round. */
  record LeaseAnswered(String runner, String host, long sentMillis, boolean granted)
      implements DispatcherEvent {}

  /** An engine answered a load order. */
  record LoadAnswered(String runner, AdapterVersion adapter, long number, OrderResponse answer)
      implements DispatcherEvent {}

  /** An engine answered an eviction order. */
  record UnloadAnswered(String runner, AdapterVersion adapter, long number, OrderResponse answer)
      implements DispatcherEvent {}

  /** A load turn was granted, or its keeper cannot be reached. */
  record TurnAnswered(String runner, AdapterVersion adapter, boolean granted)
      implements DispatcherEvent {}

  /** An engine's report was read. */
  record Reported(String runner, EngineReport report) implements DispatcherEvent {}

  /** An engine's report could not be read. */
  record ReportFailed(String runner, String why) implements DispatcherEvent {}

  /** An engine sent a chunk on stream number {@code stream} of a job. */
  record ChunkCame(String request, int stream, long sequence, String model, byte[] data)
      implements DispatcherEvent {}

  /** An engine sent its end marker. */
  record EndCame(String request, int stream, long chunks) implements DispatcherEvent {}

  /** An engine refused a request. */
  record StartRefused(String request, int stream, int status, String message)
      implements DispatcherEvent {}

  /** A stream broke. */
  record StreamBroke(String request, int stream, String why) implements DispatcherEvent {}

  /** An engine answered a cancel. */
  record CancelAnswered(String request, boolean confirmed) implements DispatcherEvent {}

  /** A service upstream answered. */
  record ServiceAnswered(long job, int status, Map<String, String> headers, byte[] body)
      implements DispatcherEvent {}

  /** A service call failed. */
  record ServiceFailed(long job, boolean sent, String why) implements DispatcherEvent {}

  /** The process is asked to stop. */
  record Stop(Runnable drained) implements DispatcherEvent {}
}
