package org.sequoiahub.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.sequoiahub.core.response.StreamPosition;

/**
 * Splits a text/event-stream into complete events, independently of how the network splits it.
 *
 * <p>A runner can stop in the middle of an event. If its first part were forwarded, the event that
 * another runner sends in its place would be appended to it; therefore only complete events are
 * forwarded.
 */
public final class EventSplitter {

  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean lineEmpty = true;
  private String lastEventId = "";
  private int completeEvents;

  /** Accepts a part of the stream and returns the events that it completes, unchanged. */
  public byte[] accept(byte[] part) {
    ByteArrayOutputStream completed = new ByteArrayOutputStream();
    for (byte next : part) {
      pending.write(next);
      if (next == '\n') {
        if (lineEmpty) {
          completeEvent(completed);
        }
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
      }
    }
    return completed.toByteArray();
  }

  /**
   * Returns and removes what follows the last complete event, for use when the stream ends
   * regularly.
   */
  public byte[] drainRemainder() {
    byte[] rest = pending.toByteArray();
    pending.reset();
    return rest;
  }

  /** Drops a partially received event. */
  public void dropPartial() {
    pending.reset();
    lineEmpty = true;
  }

  /** Returns where the received part of the stream ends. */
  public StreamPosition position() {
    if (pending.size() > 0) {
      return StreamPosition.INSIDE_EVENT;
    }
    return completeEvents == 0 ? StreamPosition.BEFORE_FIRST_EVENT : StreamPosition.BETWEEN_EVENTS;
  }

  /** Returns the id of the last complete event; empty if there was none. */
  public String lastEventId() {
    return lastEventId;
  }

  /** Returns the number of complete events. */
  public int completeEvents() {
    return completeEvents;
  }

  private void completeEvent(ByteArrayOutputStream completed) {
    byte[] event = pending.toByteArray();
    pending.reset();
    completed.write(event, 0, event.length);
    for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(ID_FIELD)) {
        lastEventId = line.substring(ID_FIELD.length()).trim();
      }
    }
    completeEvents++;
  }
}
