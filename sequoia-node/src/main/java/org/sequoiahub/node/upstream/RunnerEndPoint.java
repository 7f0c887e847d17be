package org.sequoiahub.node.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to a runner that reports a connection reset as a failure.
 *
 * <p>Jetty treats a failed read as the end of the input. A response without a length ends when its
 * connection is closed; if the runner crashed while sending it, the reset would make the incomplete
 * response look complete, and the caller would receive it as a successful response.
 */
final class RunnerEndPoint extends SocketChannelEndPoint {

  RunnerEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = getChannel().read(buffer);
    } catch (IOException e) {
      shutdownInput();
      throw e;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (filled > 0) {
      notIdle();
    } else if (filled < 0) {
      shutdownInput();
    }
    return filled;
  }
}
