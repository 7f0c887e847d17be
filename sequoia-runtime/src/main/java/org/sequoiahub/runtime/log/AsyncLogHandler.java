package org.sequoiahub.runtime.log;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Writes log records asynchronously, on its own thread fed through a bounded queue.
 *
 * <p>A stalled reader of the output blocks the thread that writes to it; if that thread also served
 * requests, all requests of the host would stall. A record is therefore dropped if the queue is
 * full, and a later line reports the number of dropped records.
 */
public final class AsyncLogHandler extends Handler {

  /** The longest interval between writes (ms). */
  private static final long WRITE_PERIOD_MILLIS = 20;

  /** The longest wait for the remaining records when the process terminates (ms). */
  private static final long FLUSH_TIMEOUT_MILLIS = 500;

  /** A queue of the JDK; unlike the rings of duties it requires no opened modules. */
  private final ArrayBlockingQueue<String> lines;

  private final PrintStream out;
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private volatile boolean running = true;

  /**
   * Creates a handler and starts its thread.
   *
   * @param out the stream to write to
   * @param capacity the maximum number of queued lines
   */
  public AsyncLogHandler(OutputStream out, int capacity) {
    checkArgument(capacity > 0, "capacity must be above 0, was %s", capacity);
    this.out = new PrintStream(out, false, UTF_8);
    this.lines = new ArrayBlockingQueue<>(capacity);
    this.writer = new Thread(this::run, "log");
    this.writer.setDaemon(true);
    this.writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !lines.offer(getFormatter().format(record))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of dropped lines that the log has not reported yet. */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void flush() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS);
    while (!lines.isEmpty() && System.nanoTime() < end) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  @Override
  public void close() {
    flush();
    running = false;
    LockSupport.unpark(writer);
  }

  private void run() {
    while (running || !lines.isEmpty()) {
      boolean wrote = false;
      @Nullable String line = lines.poll();
      while (line != null) {
        out.print(line);
        wrote = true;
        line = lines.poll();
      }
      long unreported = dropped.getAndSet(0);
      if (unreported > 0) {
        out.print("event=log-dropped lines=" + unreported + "\n");
        wrote = true;
      }
      if (wrote) {
        out.flush();
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(WRITE_PERIOD_MILLIS));
    }
  }
}
