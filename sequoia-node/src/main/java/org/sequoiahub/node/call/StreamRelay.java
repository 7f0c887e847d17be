package org.sequoiahub.node.call;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.response.Completeness;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.response.ResponseCompleteness;
import org.sequoiahub.core.response.StreamPosition;
import org.sequoiahub.core.stream.EventSplitter;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.caller.CallerExchange;

/**
 * Relays the complete events of a stream to its caller, across all attempts.
 *
 * <p>The response starts with the first complete event: a stream that is broken off before can
 * still be answered with an error.
 *
 * <p>Thread-safe: chunks arrive on HTTP client threads, while the current attempt changes on the
 * decision thread. Chunks of an attempt that is no longer current are dropped.
 */
final class StreamRelay {

  /** The number of no attempt; attempts are counted from 1. */
  private static final int NO_ATTEMPT = 0;

  private final CallerExchange exchange;
  private final EventSplitter events = new EventSplitter();
  private int currentAttempt;
  private long lastChunkMillis;

  /** The head of the current attempt's response; null before it and once a head was sent. */
  private @Nullable Head head;

  /** The software version of the runner of the current attempt; null if it is not known. */
  private @Nullable SoftwareVersion version;

  /** The software version of the runner whose head went to the caller; null before it. */
  private @Nullable SoftwareVersion origin;

  private record Head(int status, HttpFields headers) {}

  StreamRelay(CallerExchange exchange) {
    this.exchange = exchange;
  }

  /** Relays only chunks of attempt {@code number} from now on. */
  synchronized void expectAttempt(int number) {
    currentAttempt = number;
    head = null;
    version = null;
    events.beginRun();
  }

  /** Relays nothing until another attempt is expected. */
  synchronized void expectNone() {
    expectAttempt(NO_ATTEMPT);
  }

  /**
   * Receives the head of an attempt's response. The caller gets the head of the attempt that brings
   * the first event, or a comment before it.
   *
   * @param runnerVersion the software version of the runner; null if it is not known
   */
  synchronized void start(
      int number, int status, HttpFields headers, @Nullable SoftwareVersion runnerVersion) {
    if (number == currentAttempt) {
      head = new Head(status, headers);
      version = runnerVersion;
    }
  }

  /** Relays the events that a chunk completes; returns whether it completed the first event. */
  synchronized boolean relayChunk(int number, ByteBuffer chunk, long nowMillis) {
    if (number != currentAttempt) {
      return false;
    }
    lastChunkMillis = nowMillis;
    boolean noneBefore = events.completeEvents() == 0;
    byte[] complete = events.accept(BufferUtil.toArray(chunk));
    if (complete.length > 0) {
      write(complete);
    }
    return noneBefore && events.completeEvents() > 0;
  }

  /** Returns whether the stream of an attempt is complete, once its response has ended. */
  synchronized Completeness completeness(int number, Framing framing) {
    return number == currentAttempt
        ? ResponseCompleteness.ofStream(framing, events.position())
        : Completeness.COMPLETE;
  }

  /** Relays the comments that follow the last event and completes the response. */
  synchronized void complete() {
    write(events.drainRemainder());
    exchange.complete();
  }

  private void write(byte[] bytes) {
    Head unsent = head;
    if (unsent != null) {
      head = null;
      if (origin == null && version != null) {
        origin = version;
        exchange.originatesAt(version);
      }
      exchange.start(unsent.status, unsent.headers);
    }
    if (bytes.length > 0) {
      exchange.writeChunk(ByteBuffer.wrap(bytes));
    }
  }

  /**
   * Returns the software version of the runner that began the stream: that of the head that went to
   * the caller, and so of all events. Empty if nothing went to the caller, or if it is not known.
   */
  synchronized Optional<SoftwareVersion> origin() {
    return Optional.ofNullable(origin);
  }

  /** Returns where the received part of the stream ends. */
  synchronized StreamPosition position() {
    return events.position();
  }

  synchronized String lastEventId() {
    return events.lastEventId();
  }

  synchronized int wholeEvents() {
    return events.completeEvents();
  }

  synchronized long lastChunkMillis() {
    return lastChunkMillis;
  }
}
