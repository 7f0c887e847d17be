package org.sequoiahub.node.caller;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sequoiahub.core.routing.CallerLimits;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.http.UnframedDataLimit;
import org.sequoiahub.runtime.http.UnterminatedDataException;

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

  /**
   * Bytes beyond the limit of a head that may be received before a head or content is complete: one
   * read may also hold the beginning of the next part, and the server rejects a larger head itself.
   */
  private static final int EXTRA_UNFRAMED_BYTES = 64 << 10;

  /** Filled by checks and drained by the server; in write mode. */
  private final ByteBuffer prefetched = ByteBuffer.allocate(PREFETCH_BYTES);

  private final UnframedDataLimit unframed = new UnframedDataLimit();
  private final Supplier<CallerLimits> limits;
  private final Consumer<String> unterminatedLog;
  private boolean disconnected;

  /** Whether the connection was closed for unterminated data. */
  private volatile boolean unterminated;

  /**
   * Creates a connection.
   *
   * @param limits the present limits on callers' requests
   * @param unterminatedLog receives the reason if the connection is closed for unterminated data
   */
  CallerEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Supplier<CallerLimits> limits,
      Consumer<String> unterminatedLog) {
    super(channel, selector, key, scheduler);
    this.limits = limits;
    this.unterminatedLog = unterminatedLog;
    unframed.restart();
  }

  /**
   * Returns whether the connection was closed for unterminated data. The server takes a body as
   * complete if its connection ends within its trailers.
   */
  boolean isUnterminated() {
    return unterminated;
  }

  /** Records that a head or a part of a body was received. */
  void progressed() {
    unframed.restart();
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
    int filled = prefetched.position() == 0 ? super.fill(buffer) : fillPrefetched(buffer);
    if (filled > 0) {
      CallerLimits current = limits.get();
      String excess =
          unframed.received(
              filled,
              current.maxHeaderBytes() + EXTRA_UNFRAMED_BYTES,
              current.headerTimeoutMillis(),
              MonotonicClock.SYSTEM.nowMillis());
      if (excess != null) {
        unterminated = true;
        unterminatedLog.accept(excess);
        close();
        throw new UnterminatedDataException(excess);
      }
    }
    return filled;
  }

  private int fillPrefetched(ByteBuffer buffer) {
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
