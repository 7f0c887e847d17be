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

  /** The interval between writes while lines arrive (ms). */
  private static final long WRITE_PERIOD_MILLIS = 20;

  /** The longest wait for the remaining records when the process terminates (ms). */
  private static final long FLUSH_TIMEOUT_MILLIS = 500;

  /** A queue of the JDK; unlike the rings of duties it requires no opened modules. */
  private final ArrayBlockingQueue<String> lines;

  private final PrintStream out;
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private volatile boolean running = true;

  /** Whether the writer waits without a timeout, so that the next line must wake it. */
  private volatile boolean waiting;

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
    if (waiting) {
      LockSupport.unpark(writer);
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
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(WRITE_PERIOD_MILLIS));
      } else {
        awaitLine();
      }
    }
  }

  /**
   * Waits until a line is queued; a writer that polled would account for most of an idle host's
   * wake-ups.
   */
  private void awaitLine() {
    waiting = true;
    if (lines.isEmpty() && dropped.get() == 0 && running) {
      LockSupport.park(this);
    }
    waiting = false;
  }
}
