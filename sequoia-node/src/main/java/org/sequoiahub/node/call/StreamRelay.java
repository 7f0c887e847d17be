package org.sequoiahub.node.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;
import org.sequoiahub.core.stream.EventSplitter;
import org.sequoiahub.node.caller.CallerExchange;

/**
 * Passes a stream's events on to its caller, over all attempts at it.
 *
 * <p>Pieces come on client threads, the change of the attempt on the decision thread; a piece of an
 * attempt that has been given up is dropped.
 */
final class StreamRelay {

  private final CallerExchange exchange;
  private final EventSplitter events = new EventSplitter();
  private int currentAttempt;
  private long lastChunkMillis;

  StreamRelay(CallerExchange exchange) {
    this.exchange = exchange;
  }

  /** Expects the pieces of attempt {@code number} from now on. */
  synchronized void expectAttempt(int number) {
    currentAttempt = number;
    events.dropPartial();
  }

  /** Starts the answer; later attempts keep the head of the first. */
  synchronized void start(int number, int status, HttpFields headers) {
    if (number == currentAttempt) {
      exchange.start(status, headers);
    }
  }

  /** Passes on what a piece completes; returns whether it completed the first event. */
  synchronized boolean relayChunk(int number, ByteBuffer piece, long nowMillis) {
    if (number != currentAttempt) {
      return false;
    }
    lastChunkMillis = nowMillis;
    boolean none = events.wholeEvents() == 0;
    byte[] complete = events.accept(BufferUtil.toArray(piece));
    if (complete.length > 0) {
      exchange.writeChunk(ByteBuffer.wrap(complete));
    }
    return none && events.wholeEvents() > 0;
  }

  /** Completes the answer. */
  synchronized void complete() {
    byte[] rest = events.rest();
    if (rest.length > 0) {
      exchange.writeChunk(ByteBuffer.wrap(rest));
    }
    exchange.complete();
  }

  synchronized String lastEventId() {
    return events.lastEventId();
  }

  synchronized int wholeEvents() {
    return events.wholeEvents();
  }

  synchronized long lastChunkMillis() {
    return lastChunkMillis;
  }
}
