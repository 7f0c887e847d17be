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
 * Writes log records on a thread of its own, fed through a bounded ring.
 *
 * <p>A reader of our output that stalls blocks whoever writes to it; were that the thread that
 * decides, every request of the host would stall with it. So a record is dropped when the ring is
 * full, and the next line that gets through says how many were.
 */
public final class AsyncLogHandler extends Handler {

  /** Records are written at least this often (ms). */
  private static final long PERIOD_MILLIS = 20;

  /** Longest wait for the last records when the process ends (ms). */
  private static final long FLUSH_MILLIS = 500;

  /** The library's queue: unlike the duties' rings it runs without opened modules. */
  private final ArrayBlockingQueue<String> ring;

  private final PrintStream out;
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private volatile boolean running = true;

  /**
   * Creates a handler and starts its thread.
   *
   * @param out where the lines go
   * @param capacity how many lines may wait
   */
  public AsyncLogHandler(OutputStream out, int capacity) {
    checkArgument(capacity > 0, "capacity must be above 0, was %s", capacity);
    this.out = new PrintStream(out, false, UTF_8);
    this.ring = new ArrayBlockingQueue<>(capacity);
    this.writer = new Thread(this::run, "log");
    this.writer.setDaemon(true);
    this.writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !ring.offer(getFormatter().format(record))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped and not yet told. */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void flush() {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS);
    while (!ring.isEmpty() && System.nanoTime() < end) {
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
    while (running || !ring.isEmpty()) {
      boolean wrote = false;
      @Nullable String line = ring.poll();
      while (line != null) {
        out.print(line);
        wrote = true;
        line = ring.poll();
      }
      long lost = dropped.getAndSet(0);
      if (lost > 0) {
        out.print("event=log-dropped lines=" + lost + "\n");
        wrote = true;
      }
      if (wrote) {
        out.flush();
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS));
    }
  }
}
