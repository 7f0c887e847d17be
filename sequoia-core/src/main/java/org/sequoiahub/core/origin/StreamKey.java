package org.sequoiahub.core.origin;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
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
    ByteBuffer bytes = ByteBuffer.wrap(hash.asBytes());
    return new StreamKey(bytes.getLong(), bytes.getLong());
  }

  /** Returns a text that is unique to the key, for rendezvous hashing. */
  public String text() {
    return Long.toHexString(high) + "-" + Long.toHexString(low);
  }
}
