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
 * A connection to a runner on which a reset is a failure.
 *
 * <p>The library takes a failed read for the end of the input. An answer that has no length ends
 * with its connection; if a runner crashes on the way, the reset would make the half that came look
 * whole, and the caller would get it as a good answer.
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
