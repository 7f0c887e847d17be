package org.sequoiahub.core.origin;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a stream by a hash of its workspace and of the caller's attempt that began it, so that
 * a caller cannot name a stream of another workspace.
 *
 * @param high the upper half of the hash
 * @param low the lower half of the hash
 */
public record StreamKey(long high, long low) {

  /**
   * Returns the key of a stream.
   *
   * @param workspace the name of the workspace; empty for none
   * @param requestId the id of the caller's attempt that brought the first event
   */
  public static StreamKey of(String workspace, String requestId) {
    HashCode hash =
        Hashing.murmur3_128()
            .newHasher()
            .putInt(workspace.length())
            .putString(workspace, StandardCharsets.UTF_8)
            .putString(requestId, StandardCharsets.UTF_8)
            .hash();
    byte[] bytes = hash.asBytes();
    return new StreamKey(
        Longs.fromByteArray(bytes),
        Longs.fromBytes(
            bytes[8], bytes[9], bytes[10], bytes[11], bytes[12], bytes[13], bytes[14], bytes[15]));
  }

  /** Returns a text that is unique to the key, for rendezvous hashing. */
  public String text() {
    return Long.toHexString(high) + "-" + Long.toHexString(low);
  }
}
