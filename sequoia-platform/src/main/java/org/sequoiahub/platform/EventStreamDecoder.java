package org.sequoiahub.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the {@code data:} lines of a {@code text/event-stream} that arrives in chunks.
 *
 * <p>A line may span several chunks.
 */
final class EventStreamDecoder {

  private static final byte[] DATA_PREFIX = "data:".getBytes(UTF_8);

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Decodes the next chunk and returns the data of the lines that it completes. */
  List<byte[]> decode(ByteBuffer chunk) {
    List<byte[]> completed = new ArrayList<>();
    while (chunk.hasRemaining()) {
      byte next = chunk.get();
      if (next != '\n') {
        line.write(next);
        continue;
      }
      byte[] bytes = line.toByteArray();
      line.reset();
      if (startsWithDataPrefix(bytes)) {
        completed.add(
            new String(bytes, DATA_PREFIX.length, bytes.length - DATA_PREFIX.length, UTF_8)
                .trim()
                .getBytes(UTF_8));
      }
    }
    return completed;
  }

  private static boolean startsWithDataPrefix(byte[] bytes) {
    if (bytes.length < DATA_PREFIX.length) {
      return false;
    }
    for (int i = 0; i < DATA_PREFIX.length; i++) {
      if (bytes[i] != DATA_PREFIX[i]) {
        return false;
      }
    }
    return true;
  }
}
