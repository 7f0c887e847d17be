package org.sequoiahub.node.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;
import org.sequoiahub.core.response.StreamPosition;
import org.sequoiahub.core.stream.EventSplitter;
import org.sequoiahub.node.caller.CallerExchange;

/**
 * Relays the complete events of a stream to its caller, across all attempts.
 *
 * <p>Thread-safe: chunks arrive on HTTP client threads, while the current attempt changes on the
 * decision thread. Chunks of an attempt that is no longer current are dropped.
 */
final class StreamRelay {

  private final CallerExchange exchange;
  private final EventSplitter events = new EventSplitter();
  private int currentAttempt;
  private long lastChunkMillis;

  StreamRelay(CallerExchange exchange) {
    this.exchange = exchange;
  }

  /** Relays only chunks of attempt {@code number} from now on. */
  synchronized void expectAttempt(int number) {
    currentAttempt = number;
    events.beginRun();
  }

  /** Starts the response; it keeps the head of the first attempt if later ones follow. */
  synchronized void start(int number, int status, HttpFields headers) {
    if (number == currentAttempt) {
      exchange.start(status, headers);
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
      exchange.writeChunk(ByteBuffer.wrap(complete));
    }
    return noneBefore && events.completeEvents() > 0;
  }

  /** Relays what is left of the last chunk and completes the response. */
  synchronized void complete() {
    byte[] rest = events.drainRemainder();
    if (rest.length > 0) {
      exchange.writeChunk(ByteBuffer.wrap(rest));
    }
    exchange.complete();
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
