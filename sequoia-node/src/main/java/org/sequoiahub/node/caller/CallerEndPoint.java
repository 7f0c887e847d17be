package org.sequoiahub.node.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that can tell whether the caller has gone while its request is in progress.
 *
 * <p>The server reads nothing between a request's last byte and the end of its answer, so it does
 * not notice a caller that closes the connection meanwhile, and the runner goes on working for
 * nobody. Looking means reading; bytes found that way belong to the caller's next request and are
 * handed to the server when it reads again.
 */
public final class CallerEndPoint extends SocketChannelEndPoint {

  private static final int PREFETCH_BYTES = 2_048;

  /** Filled by looking, emptied by the server; in write mode. */
  private final ByteBuffer prefetched = ByteBuffer.allocate(PREFETCH_BYTES);

  private boolean disconnected;

  CallerEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /** Returns whether the caller has closed the connection; call it only during a request. */
  public synchronized boolean isCallerDisconnected() {
    if (disconnected || !isOpen()) {
      return true;
    }
    if (prefetched.position() > 0) {
      // The next request waits behind this one: its sender is there.
      return false;
    }
    try {
      disconnected = getChannel().read(prefetched) < 0;
    } catch (IOException e) {
      disconnected = true;
    }
    return disconnected;
  }

  @Override
  public synchronized int fill(ByteBuffer buffer) throws IOException {
    if (prefetched.position() == 0) {
      return super.fill(buffer);
    }
    prefetched.flip();
    int position = BufferUtil.flipToFill(buffer);
    int filled = BufferUtil.put(prefetched, buffer);
    BufferUtil.flipToFlush(buffer, position);
    prefetched.compact();
    return filled;
  }

  @Override
  public void fillInterested(Callback callback) {
    if (hasPrefetched()) {
      getScheduler().schedule(callback::succeeded, 0, TimeUnit.MILLISECONDS);
    } else {
      super.fillInterested(callback);
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    if (hasPrefetched()) {
      getScheduler().schedule(callback::succeeded, 0, TimeUnit.MILLISECONDS);
      return true;
    }
    return super.tryFillInterested(callback);
  }

  private synchronized boolean hasPrefetched() {
    return prefetched.position() > 0;
  }
}
