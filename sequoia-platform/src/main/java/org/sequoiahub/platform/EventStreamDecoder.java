package org.sequoiahub.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Takes the {@code data:} lines out of a text/event-stream, however the network cuts it. */
final class EventStreamDecoder {

  private static final byte[] PREFIX = "data:".getBytes(UTF_8);

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Takes in a piece of the stream and returns the data of the lines that it completes. */
  List<byte[]> decode(ByteBuffer piece) {
    List<byte[]> complete = new ArrayList<>();
    while (piece.hasRemaining()) {
      byte next = piece.get();
      if (next != '\n') {
        line.write(next);
        continue;
      }
      byte[] bytes = line.toByteArray();
      line.reset();
      if (startsWithPrefix(bytes)) {
        complete.add(
            new String(bytes, PREFIX.length, bytes.length - PREFIX.length, UTF_8)
                .trim()
                .getBytes(UTF_8));
      }
    }
    return complete;
  }

  private static boolean startsWithPrefix(byte[] bytes) {
    if (bytes.length < PREFIX.length) {
      return false;
    }
    for (int i = 0; i < PREFIX.length; i++) {
      if (bytes[i] != PREFIX[i]) {
        return false;
      }
    }
    return true;
  }
}
