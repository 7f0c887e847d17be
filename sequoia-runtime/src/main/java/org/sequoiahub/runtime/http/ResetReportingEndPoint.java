package org.sequoiahub.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sequoiahub.core.response.ConnectionEnd;

/**
 * A client's connection that reports a connection reset as a failure, and knows how its input
 * ended.
 *
 * <p>Jetty treats a failed read as the end of the input. A response without a length ends when its
 * connection is closed; if its sender crashed while sending it, the reset would make the truncated
 * response look complete.
 */
final class ResetReportingEndPoint extends SocketChannelEndPoint {

  /**
   * Maximum number of bytes between a request and the head of its response, and between two parts
   * of its body. A head has at most {@link ResetReportingConnector#MAX_HEADER_BYTES}; one read adds
   * up to 16 KiB, which may belong to the next part.
   */
  private static final int MAX_UNFRAMED_BYTES = 4 * ResetReportingConnector.MAX_HEADER_BYTES;

  private final UnframedDataLimit unframed = new UnframedDataLimit();
  private volatile ConnectionEnd inputEnd = ConnectionEnd.NONE;

  ResetReportingEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /** Returns how the input ended. */
  ConnectionEnd inputEnd() {
    return inputEnd;
  }

  /** Begins to count the bytes that belong to no head and no content; see the limit's class. */
  void restartUnframedLimit() {
    unframed.restart();
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      recordEnd(ConnectionEnd.ABANDONED);
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = getChannel().read(buffer);
    } catch (IOException e) {
      recordEnd(ConnectionEnd.RESET);
      shutdownInput();
      throw e;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (filled > 0) {
      notIdle();
      String excess = unframed.received(filled, MAX_UNFRAMED_BYTES);
      if (excess != null) {
        recordEnd(ConnectionEnd.ABANDONED);
        throw new UnterminatedDataException(excess);
      }
    } else if (filled < 0) {
      recordEnd(ConnectionEnd.CLOSED);
      shutdownInput();
    }
    return filled;
  }

  /** Records the first end of the input; later reads find it closed. */
  private void recordEnd(ConnectionEnd end) {
    if (inputEnd == ConnectionEnd.NONE) {
      inputEnd = end;
    }
  }
}
