package org.sequoiahub.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.sequoiahub.core.response.StreamPosition;

/**
 * Splits a text/event-stream into complete events, independently of how the network splits it.
 *
 * <p>A runner can stop in the middle of an event. If its first part were forwarded, the event that
 * another runner sends in its place would be appended to it; therefore only complete events are
 * forwarded.
 *
 * <p>Lines end with LF, CR or CRLF, an event ends with an empty line, and a byte order mark may
 * precede the first line (HTML Living Standard, section 9.2.6). A block of comments is no event.
 */
public final class EventSplitter {

  private static final String ID_FIELD = "id";
  private static final byte COMMENT_START = ':';
  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean firstRun = true;

  /** How many bytes of a byte order mark begin the run; negative after its first other byte. */
  private int markBytes;

  private boolean lineEmpty = true;
  private boolean lineIsComment;
  private boolean afterCarriageReturn;

  /** Whether the pending bytes hold a line that belongs to an event. */
  private boolean eventBegun;

  private String lastEventId = "";
  private int completeEvents;
  private int completeEventsOfRun;

  /** Accepts a part of the stream and returns the events that it completes, unchanged. */
  public byte[] accept(byte[] part) {
    ByteArrayOutputStream completed = new ByteArrayOutputStream();
    for (byte next : part) {
      if (markBytes >= 0 && isByteOrderMark(next)) {
        continue;
      }
      boolean endsCrLf = afterCarriageReturn && next == '\n';
      afterCarriageReturn = next == '\r';
      if (endsCrLf && pending.size() == 0) {
        completed.write(next);
        continue;
      }
      pending.write(next);
      if (endsCrLf) {
        continue;
      }
      if (next == '\n' || next == '\r') {
        endLine(completed);
      } else if (lineEmpty) {
        lineEmpty = false;
        lineIsComment = next == COMMENT_START;
      }
    }
    return completed.toByteArray();
  }

  /** Consumes a byte if it continues a byte order mark, which only the first run forwards. */
  private boolean isByteOrderMark(byte next) {
    if (next == BYTE_ORDER_MARK[markBytes]) {
      markBytes++;
      if (markBytes == BYTE_ORDER_MARK.length) {
        markBytes = -1;
        if (firstRun) {
          pending.writeBytes(BYTE_ORDER_MARK);
        }
      }
      return true;
    }
    if (markBytes > 0) {
      pending.write(BYTE_ORDER_MARK, 0, markBytes);
      lineEmpty = false;
    }
    markBytes = -1;
    return false;
  }

  private void endLine(ByteArrayOutputStream completed) {
    if (lineEmpty) {
      completeEvent(completed);
    } else {
      eventBegun |= !lineIsComment;
    }
    lineEmpty = true;
    lineIsComment = false;
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

  /** Begins the stream of another run, which continues after the last complete event. */
  public void beginRun() {
    firstRun = completeEvents == 0;
    pending.reset();
    markBytes = 0;
    lineEmpty = true;
    lineIsComment = false;
    afterCarriageReturn = false;
    eventBegun = false;
    completeEventsOfRun = 0;
  }

  /** Returns where the received part of the current run's stream ends. */
  public StreamPosition position() {
    if (eventBegun || !lineEmpty || markBytes > 0) {
      return StreamPosition.INSIDE_EVENT;
    }
    return completeEventsOfRun == 0
        ? StreamPosition.BEFORE_FIRST_EVENT
        : StreamPosition.BETWEEN_EVENTS;
  }

  /** Returns the number of bytes received after the last complete event. */
  public int pendingBytes() {
    return pending.size();
  }

  /** Returns the id of the last complete event; empty if there was none. */
  public String lastEventId() {
    return lastEventId;
  }

  /** Returns the number of complete events of all runs. */
  public int completeEvents() {
    return completeEvents;
  }

  private void completeEvent(ByteArrayOutputStream completed) {
    byte[] event = pending.toByteArray();
    pending.reset();
    completed.write(event, 0, event.length);
    if (!eventBegun) {
      return;
    }
    String text = new String(event, StandardCharsets.UTF_8);
    String withoutMark = text.startsWith("\uFEFF") ? text.substring(1) : text;
    for (String line : withoutMark.split("\r\n|\n|\r")) {
      int colon = line.indexOf(':');
      String field = colon < 0 ? line : line.substring(0, colon);
      if (field.equals(ID_FIELD)) {
        lastEventId = colon < 0 ? "" : line.substring(colon + 1).trim();
      }
    }
    eventBegun = false;
    completeEvents++;
    completeEventsOfRun++;
  }
}
