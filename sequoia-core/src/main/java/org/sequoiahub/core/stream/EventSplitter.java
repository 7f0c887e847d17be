package org.sequoiahub.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Cuts a text/event-stream into whole events, however the network cut it.
 *
 * <p>A runner can stop in the middle of an event. Were its first half passed on, the event that
 * another runner sends in its place would be joined to it; so only whole events leave here.
 */
public final class EventSplitter {

  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean lineEmpty = true;
  private String lastEventId = "";
  private int completeEvents;

  /** Takes in a piece of the stream and returns the events that it completes, as they came. */
  public byte[] accept(byte[] piece) {
    ByteArrayOutputStream complete = new ByteArrayOutputStream();
    for (byte next : piece) {
      pending.write(next);
      if (next == '\n') {
        if (lineEmpty) {
          completeEvent(complete);
        }
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
      }
    }
    return complete.toByteArray();
  }

  /** Returns what follows the last whole event, at the stream's proper end. */
  public byte[] drainRemainder() {
    byte[] rest = pending.toByteArray();
    pending.reset();
    return rest;
  }

  /** Drops an event that was broken off. */
  public void dropPartial() {
    pending.reset();
    lineEmpty = true;
  }

  /** Returns the id of the last whole event; empty if there was none. */
  public String lastEventId() {
    return lastEventId;
  }

  /** Returns how many whole events there were. */
  public int completeEvents() {
    return completeEvents;
  }

  private void completeEvent(ByteArrayOutputStream complete) {
    byte[] event = pending.toByteArray();
    pending.reset();
    complete.write(event, 0, event.length);
    for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(ID_FIELD)) {
        lastEventId = line.substring(ID_FIELD.length()).trim();
      }
    }
    completeEvents++;
  }
}
