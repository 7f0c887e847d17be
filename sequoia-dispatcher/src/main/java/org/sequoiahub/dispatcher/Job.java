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

/** An inference request at this dispatcher, from its arrival to its outcome. */
final class Job {

  /** Chunks kept while an earlier one is missing. */
  private static final int MAX_BUFFERED_CHUNKS = 1_024;

  private final InferenceCall request;
  private final RunnerRequest runnerRequest;
  private final Span span;
  private final boolean resident;
  private WireConnection connection;
  private long call;
  private ChunkSequencer sequencer;
  private @Nullable EngineStream stream;
  private int streamNumber;
  private int consecutiveResumes;
  private boolean started;
  private boolean cancelled;
  private long lastReceivedMillis;
  private long orphanedMillis = Long.MAX_VALUE;

  Job(
      InferenceCall request,
      RunnerRequest runnerRequest,
      Span span,
      boolean resident,
      WireConnection connection,
      long call,
      long nowMillis) {
    this.request = request;
    this.runnerRequest = runnerRequest;
    this.span = span;
    this.resident = resident;
    this.connection = connection;
    this.call = call;
    this.sequencer = new ChunkSequencer(request.getResumeAfter(), MAX_BUFFERED_CHUNKS);
    this.lastReceivedMillis = nowMillis;
  }

  InferenceCall request() {
    return request;
  }

  RunnerRequest runnerRequest() {
    return runnerRequest;
  }

  AdapterVersion adapter() {
    return runnerRequest.adapter();
  }

  String id() {
    return runnerRequest.id();
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

  boolean usesConnection(WireConnection other) {
    return connection.equals(other);
  }

  boolean respondsTo(WireConnection other, long number) {
    return connection.equals(other) && call == number;
  }

  /** Redirects the rest of the response, after chunk {@code after}, to another call. */
  void redirectTo(WireConnection other, long number, long after) {
    connection = other;
    call = number;
    sequencer = new ChunkSequencer(after, MAX_BUFFERED_CHUNKS);
    orphanedMillis = Long.MAX_VALUE;
  }

  /**
   * Abandons the current stream and returns the number of the next one. Events of streams with
   * another number are to be ignored.
   */
  int nextStreamNumber(long nowMillis) {
    abandonStream();
    lastReceivedMillis = nowMillis;
    return ++streamNumber;
  }

  void streamOpened(EngineStream opened) {
    stream = opened;
  }

  boolean isCurrentStream(int number) {
    return streamNumber == number;
  }

  void abandonStream() {
    if (stream != null) {
      stream.abandon();
      stream = null;
    }
  }

  /** Counts a resume and returns how many were made since the last chunk. */
  int incrementResumes() {
    return ++consecutiveResumes;
  }

  void chunkReceived(long nowMillis) {
    lastReceivedMillis = nowMillis;
    consecutiveResumes = 0;
  }

  long silentMillis(long nowMillis) {
    return nowMillis - lastReceivedMillis;
  }

  boolean isStarted() {
    return started;
  }

  void markStarted() {
    started = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void markCancelled() {
    cancelled = true;
  }

  void markOrphaned(long nowMillis) {
    orphanedMillis = nowMillis;
  }

  boolean isOrphanedFor(long millis, long nowMillis) {
    return orphanedMillis != Long.MAX_VALUE && nowMillis - orphanedMillis >= millis;
  }
}
