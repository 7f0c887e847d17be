package org.sequoiahub.node.call;

import java.io.ByteArrayOutputStream;
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
 * <p>While the runner of the current attempt is silent, a second one may stand by: whichever
 * completes the next event first goes on, and nothing of the other one is relayed from then on.
 *
 * <p>The response starts with the first complete event: a stream that is broken off before can
 * still be answered with an error.
 *
 * <p>Thread-safe: chunks arrive on HTTP client threads, while the current attempt changes on the
 * decision thread. Chunks of an attempt that is no longer current are dropped.
 */
final class StreamRelay {

  /**
   * Maximum size of the part of a stream that holds no complete event (bytes): memory that a runner
   * can occupy with an event that never ends. Events of a token or of a tool call are far smaller.
   */
  static final int MAX_EVENT_BYTES = 1 << 20;

  /** The number of no attempt; attempts are counted from 1. */
  private static final int NO_ATTEMPT = 0;

  private final CallerExchange exchange;
  private final EventSplitter events = new EventSplitter();
  private int currentAttempt;
  private long lastChunkMillis;

  /** The attempt that received the last chunk. */
  private int lastChunkAttempt;

  /** The attempt that stands by; null if there is none. */
  private @Nullable Standby standby;

  /** The head of the current attempt's response; null before it and once a head was sent. */
  private @Nullable Head head;

  /** The software version of the runner of the current attempt; null if it is not known. */
  private @Nullable SoftwareVersion version;

  /** The software version of the runner whose head went to the caller; null before it. */
  private @Nullable SoftwareVersion origin;

  private record Head(int status, HttpFields headers) {}

  /** An attempt that stands by, with what was received of its response. */
  private static final class Standby {
    final int number;
    final EventSplitter events = new EventSplitter();
    final ByteArrayOutputStream content = new ByteArrayOutputStream();
    @Nullable Head head;
    @Nullable SoftwareVersion version;

    Standby(int number) {
      this.number = number;
    }
  }

  StreamRelay(CallerExchange exchange) {
    this.exchange = exchange;
  }

  /**
   * Relays only chunks of attempt {@code number} from now on.
   *
   * @return the id of the last event that was relayed, after which the attempt must go on
   */
  synchronized String expectAttempt(int number) {
    currentAttempt = number;
    standby = null;
    head = null;
    version = null;
    events.beginRun();
    return events.lastEventId();
  }

  /**
   * Lets an attempt stand by that takes over with its next complete event, unless the current one
   * completes an event before.
   *
   * @return the id of the last event that was relayed, after which the attempt must go on
   */
  synchronized String expectStandby(int number) {
    standby = new Standby(number);
    return events.lastEventId();
  }

  /** Returns whether an attempt stands by. */
  synchronized boolean hasStandby() {
    return standby != null;
  }

  /** Returns the number of the attempt whose events are relayed. */
  synchronized int currentAttempt() {
    return currentAttempt;
  }

  /** Continues with the other attempt, if there is one, as attempt {@code number} has failed. */
  synchronized void attemptFailed(int number) {
    Standby waiting = standby;
    if (waiting == null) {
      return;
    }
    if (number == waiting.number) {
      standby = null;
    } else if (number == currentAttempt) {
      takeOver(waiting);
    }
  }

  /** Drops the standby if its runner has another version than the one that began the stream. */
  private void dropStandbyOfOtherVersion() {
    Standby waiting = standby;
    if (waiting != null
        && origin != null
        && waiting.version != null
        && !origin.equals(waiting.version)) {
      standby = null;
    }
  }

  private void takeOver(Standby next) {
    expectAttempt(next.number);
    head = next.head;
    version = next.version;
    byte[] complete = events.accept(next.content.toByteArray());
    if (complete.length > 0) {
      write(complete);
    }
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
    Standby waiting = standby;
    if (number == currentAttempt) {
      head = new Head(status, headers);
      version = runnerVersion;
    } else if (waiting != null && number == waiting.number) {
      waiting.head = new Head(status, headers);
      waiting.version = runnerVersion;
      dropStandbyOfOtherVersion();
    }
  }

  /** Relays the events that a chunk completes; returns whether it completed the first event. */
  synchronized boolean relayChunk(int number, ByteBuffer chunk, long nowMillis) {
    boolean noneBefore = events.completeEvents() == 0;
    Standby waiting = standby;
    if (waiting != null && number == waiting.number) {
      byte[] bytes = BufferUtil.toArray(chunk);
      waiting.content.writeBytes(bytes);
      waiting.events.accept(bytes);
      if (waiting.events.completeEvents() > 0) {
        recordChunk(number, nowMillis);
        takeOver(waiting);
      }
    } else if (number == currentAttempt) {
      recordChunk(number, nowMillis);
      int before = events.completeEvents();
      byte[] complete = events.accept(BufferUtil.toArray(chunk));
      if (complete.length > 0) {
        write(complete);
      }
      if (events.completeEvents() > before) {
        standby = null;
      }
    }
    return noneBefore && events.completeEvents() > 0;
  }

  /** Returns whether an attempt has sent more than an event may hold without completing one. */
  synchronized boolean isEventTooLong(int number) {
    Standby waiting = standby;
    if (waiting != null && number == waiting.number) {
      return waiting.content.size() > MAX_EVENT_BYTES;
    }
    return number == currentAttempt && events.pendingBytes() > MAX_EVENT_BYTES;
  }

  private void recordChunk(int number, long nowMillis) {
    lastChunkMillis = nowMillis;
    lastChunkAttempt = number;
  }

  /**
   * Returns whether the stream of an attempt is complete, once its response has ended. If that is
   * decided, an attempt whose stream is complete goes on, and the other one does not.
   */
  synchronized Completeness completeness(int number, Framing framing) {
    EventSplitter received = eventsOf(number);
    if (received == null) {
      return Completeness.COMPLETE;
    }
    Completeness result = ResponseCompleteness.ofStream(framing, received.position());
    if (result.isComplete() && !ResponseCompleteness.dependsOnSender(framing)) {
      streamCompleted(number);
    }
    return result;
  }

  /** Returns the events of an attempt; null if they are not relayed any more. */
  private @Nullable EventSplitter eventsOf(int number) {
    Standby waiting = standby;
    if (waiting != null && number == waiting.number) {
      return waiting.events;
    }
    return number == currentAttempt ? events : null;
  }

  /** Goes on with an attempt whose stream is complete, and with no other one. */
  synchronized void streamCompleted(int number) {
    Standby waiting = standby;
    if (waiting != null && number == waiting.number) {
      takeOver(waiting);
    } else if (number == currentAttempt) {
      standby = null;
    }
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
        dropStandbyOfOtherVersion();
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

  /** Returns when a chunk of an attempt was received last (ms); 0 if another one had the last. */
  synchronized long lastChunkMillis(int number) {
    return number == lastChunkAttempt ? lastChunkMillis : 0;
  }
}
