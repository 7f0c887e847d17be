package org.sequoiahub.node.caller;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.StandardSocketOptions;
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
 * A caller's connection that detects whether the caller has disconnected while its request is in
 * progress.
 *
 * <p>The server reads nothing between the last byte of a request and the end of the response.
 * Without this check it would not notice that a caller closes the connection in between, and the
 * runner would continue to work on a response that nobody receives. Checking requires a read; bytes
 * that it returns belong to the caller's next request and are passed to the server when it reads
 * again.
 */
public final class CallerEndPoint extends SocketChannelEndPoint {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** Capacity of the buffer for bytes that a check reads. */
  private static final int PREFETCH_BYTES = 2_048;

  /** Filled by checks and drained by the server; in write mode. */
  private final ByteBuffer prefetched = ByteBuffer.allocate(PREFETCH_BYTES);

  private boolean disconnected;

  CallerEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /** Returns whether the caller has closed the connection; call it only while a request runs. */
  public synchronized boolean isCallerDisconnected() {
    if (disconnected || !isOpen()) {
      return true;
    }
    if (prefetched.position() > 0) {
      // The next request has already arrived, so the caller is still connected.
      return false;
    }
    try {
      disconnected = getChannel().read(prefetched) < 0;
    } catch (IOException e) {
      disconnected = true;
    }
    return disconnected;
  }

  /** Closes the connection with a reset, so that no part of a response looks complete. */
  void closeWithReset() {
    try {
      getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      LOGGER.atFine().withCause(e).log("the caller's connection is already closed");
    }
    close();
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
