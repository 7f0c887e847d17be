package org.sequoiahub.runtime.http;

import static com.google.common.base.Preconditions.checkArgument;

import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes that a peer sends which belong neither to a complete header section nor to
 * content: heads, informational responses, chunk-size lines and trailers.
 *
 * <p>The HTTP parser bounds what it keeps of them in memory, but it skips chunk extensions and
 * informational responses of any length. Thread-safe.
 */
public final class UnframedDataLimit {

  private boolean counting;
  private long bytes;

  /**
   * Begins to count anew: a request was sent, or a head or content was received. Nothing is counted
   * on a connection before the first call.
   */
  public synchronized void restart() {
    counting = true;
    bytes = 0;
  }

  /**
   * Records received bytes.
   *
   * @param received the number of bytes that were received
   * @param maxBytes the maximum number of bytes since the last progress
   * @return the reason for which the connection must be closed; null if it stays open
   */
  public synchronized @Nullable String received(int received, long maxBytes) {
    checkArgument(received >= 0, "received must not be negative, was %s", received);
    if (!counting) {
      return null;
    }
    bytes += received;
    return bytes > maxBytes
        ? "unterminated data: " + bytes + " bytes without a head or content"
        : null;
  }
}
