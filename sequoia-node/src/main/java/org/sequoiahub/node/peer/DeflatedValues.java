package org.sequoiahub.node.peer;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.sequoiahub.core.store.StorePosition;
import org.sequoiahub.usersplatform.StoredItem;

/**
 * Deflates the large values of records that are sent to other hosts.
 *
 * <p>A configuration of many routes takes a slow link seconds, once for each host that pulls it.
 * All of them pull the same, so the last results are kept.
 *
 * <p>Not thread-safe.
 */
public final class DeflatedValues {

  /** Smaller values are sent as they are. */
  private static final int MIN_BYTES = 1_024;

  private static final int MAX_KEPT = 4;

  /** Limit of an inflated value, above that of a value of the store. */
  private static final int MAX_INFLATED_BYTES = 16 << 20;

  private final Map<String, Deflated> keptByKey =
      new LinkedHashMap<>(MAX_KEPT, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Deflated> eldest) {
          return size() > MAX_KEPT;
        }
      };

  private record Deflated(StorePosition position, ByteString bytes) {}

  /** Returns the deflated value of a record; empty if the record should be sent as it is. */
  ByteString of(StoredItem item) {
    byte[] value = item.value();
    if (value == null || value.length < MIN_BYTES) {
      return ByteString.EMPTY;
    }
    Deflated kept = keptByKey.get(item.key());
    if (kept == null || !kept.position.equals(item.position())) {
      kept = new Deflated(item.position(), deflate(value));
      keptByKey.put(item.key(), kept);
    }
    return kept.bytes;
  }

  private static ByteString deflate(byte[] value) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteString.Output bytes = ByteString.newOutput();
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
      out.write(value);
    } catch (IOException e) {
      throw new AssertionError("a stream in memory does not fail", e);
    } finally {
      deflater.end();
    }
    return bytes.toByteString();
  }

  /**
   * Returns the value that was deflated.
   *
   * @throws IOException if the bytes are not in the zlib format, or the value is too large
   */
  static byte[] inflate(ByteString deflated) throws IOException {
    ByteArrayOutputStream value = new ByteArrayOutputStream();
    try (InputStream in = new InflaterInputStream(deflated.newInput())) {
      byte[] buffer = new byte[8_192];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        value.write(buffer, 0, read);
        if (value.size() > MAX_INFLATED_BYTES) {
          throw new IOException("the value has more than " + MAX_INFLATED_BYTES + " bytes");
        }
      }
    }
    return value.toByteArray();
  }
}
