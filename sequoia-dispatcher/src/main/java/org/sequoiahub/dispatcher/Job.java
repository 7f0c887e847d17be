package org.sequoiahub.dispatcher;

import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.runner.RunnerRequest;
import org.sequoiahub.core.stream.ChunkSequencer;
import org.sequoiahub.platform.EngineStream;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.schema.wire.InferenceCall;
import org.sequoiahub.wire.WireConnection;

/** One inference request at this dispatcher, from its admission to its outcome. */
final class Job {

  private static final int CHUNKS_AHEAD = 1_024;

  private final InferenceCall request;
  private final RunnerRequest asked;
  private final Span span;
  private final boolean resident;
  private WireConnection connection;
  private long call;
  private ChunkSequencer sequencer;
  private @Nullable EngineStream stream;
  private int streamNumber;
  private int resumes;
  private boolean started;
  private boolean cancelled;
  private long lastHeardMillis;
  private long orphanedMillis = Long.MAX_VALUE;

  Job(
      InferenceCall request,
      RunnerRequest asked,
      Span span,
      boolean resident,
      WireConnection connection,
      long call,
      long nowMillis) {
    this.request = request;
    this.asked = asked;
    this.span = span;
    this.resident = resident;
    this.connection = connection;
    this.call = call;
    this.sequencer = new ChunkSequencer(request.getResumeAfter(), CHUNKS_AHEAD);
    this.lastHeardMillis = nowMillis;
  }

  InferenceCall request() {
    return request;
  }

  RunnerRequest asked() {
    return asked;
  }

  AdapterVersion adapter() {
    return asked.adapter();
  }

  String id() {
    return asked.id();
  }

  Span span() {
    return span;
  }

  boolean wasResident() {
    return resident;
  }

  ChunkSequencer sequencer() {
    return sequencer;
  }

  void send(Envelope.Builder message) {
    connection.send(call, message);
  }

  boolean isOn(WireConnection other) {
    return connection.equals(other);
  }

  boolean isCall(WireConnection other, long number) {
    return connection.equals(other) && call == number;
  }

  /** Sends the rest of the answer to another call, from after chunk {@code after}. */
  void moveTo(WireConnection other, long number, long after) {
    connection = other;
    call = number;
    sequencer = new ChunkSequencer(after, CHUNKS_AHEAD);
    orphanedMillis = Long.MAX_VALUE;
  }

  /**
   * Returns the number of the stream that is about to be opened; older streams' events are void.
   */
  int nextStream(long nowMillis) {
    abandonStream();
    lastHeardMillis = nowMillis;
    return ++streamNumber;
  }

  void opened(EngineStream opened) {
    stream = opened;
  }

  boolean isCurrent(int number) {
    return streamNumber == number;
  }

  void abandonStream() {
    if (stream != null) {
      stream.abandon();
      stream = null;
    }
  }

  int countResume() {
    return ++resumes;
  }

  void heard(long nowMillis) {
    lastHeardMillis = nowMillis;
    resumes = 0;
  }

  long silentMillis(long nowMillis) {
    return nowMillis - lastHeardMillis;
  }

  boolean isStarted() {
    return started;
  }

  void start() {
    started = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void cancel() {
    cancelled = true;
  }

  void orphaned(long nowMillis) {
    orphanedMillis = nowMillis;
  }

  boolean isOrphanedFor(long millis, long nowMillis) {
    return orphanedMillis != Long.MAX_VALUE && nowMillis - orphanedMillis >= millis;
  }
}
