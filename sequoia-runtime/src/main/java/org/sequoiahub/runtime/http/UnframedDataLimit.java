package org.sequoiahub.runtime.http;

import static com.google.common.base.Preconditions.checkArgument;

import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes, and optionally the time, that a peer takes for data which is neither a complete
 * header section nor content: heads, informational responses, chunk-size lines and trailers.
 *
 * <p>The HTTP parser bounds what it keeps of them in memory, but it skips chunk extensions and
 * informational responses of any length, and it has no bound on time. Thread-safe.
 */
public final class UnframedDataLimit {

  /** Bounds no time. */
  public static final long NO_TIME_LIMIT = Long.MAX_VALUE;

  private boolean counting;
  private long bytes;
  private long firstMillis;

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
   * @param maxMillis the maximum time since the first of these bytes (ms)
   * @return the reason for which the connection must be closed; null if it stays open
   */
  public synchronized @Nullable String received(
      int received, long maxBytes, long maxMillis, long nowMillis) {
    checkArgument(received >= 0, "received must not be negative, was %s", received);
    if (!counting || received == 0) {
      return null;
    }
    if (bytes == 0) {
      firstMillis = nowMillis;
    }
    bytes += received;
    if (bytes > maxBytes) {
      return "unterminated data: " + bytes + " bytes without a head or content";
    }
    return nowMillis - firstMillis > maxMillis
        ? "unterminated data: " + (nowMillis - firstMillis) + " ms without a head or content"
        : null;
  }
}
