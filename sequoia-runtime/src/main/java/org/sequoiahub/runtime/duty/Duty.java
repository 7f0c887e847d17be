package org.sequoiahub.runtime.duty;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.jspecify.annotations.Nullable;

/**
 * One thread that owns the state of one duty, fed through a bounded ring.
 *
 * <p>Any thread may offer an event; the duty's own thread handles them in order and ticks in
 * between. State that only handlers touch needs no lock.
 *
 * @param <E> the type of events
 */
public final class Duty<E> implements AutoCloseable {

  private static final int BATCH = 256;
  private static final long FULL_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(50);
  private static final long JOIN_MILLIS = 5_000;

  private final ManyToOneConcurrentArrayQueue<E> ring;
  private final Consumer<E> handler;
  private final LongConsumer tick;
  private final Consumer<Throwable> onFailure;
  private final MonotonicClock clock;
  private final LongSupplier period;
  private final Thread thread;
  private volatile boolean running = true;
  private volatile boolean parked;

  /**
   * Creates a duty; {@link #start} starts its thread.
   *
   * @param name the thread's name
   * @param capacity the ring's capacity
   * @param period how often {@code tick} is called at least (ms), asked again after each tick and
   *     each event
   * @param handler handles one event
   * @param tick does what is due at the time it is given
   * @param onFailure is told what a handler or tick threw; the duty goes on
   * @param clock tells the time
   */
  @SuppressWarnings("ThreadPriorityCheck")
  public Duty(
      String name,
      int capacity,
      LongSupplier period,
      Consumer<E> handler,
      LongConsumer tick,
      Consumer<Throwable> onFailure,
      MonotonicClock clock) {
    checkArgument(capacity > 0, "capacity must be above 0, was %s", capacity);
    this.ring = new ManyToOneConcurrentArrayQueue<>(capacity);
    this.handler = requireNonNull(handler, "handler must not be null");
    this.tick = requireNonNull(tick, "tick must not be null");
    this.onFailure = requireNonNull(onFailure, "onFailure must not be null");
    this.clock = requireNonNull(clock, "clock must not be null");
    this.period = requireNonNull(period, "period must not be null");
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Offers an event; false if the ring is full, so that the caller can refuse its work. */
  public boolean offer(E event) {
    boolean taken = ring.offer(event);
    if (parked) {
      LockSupport.unpark(thread);
    }
    return taken;
  }

  /**
   * Puts an event that must not be lost, waiting while the ring is full.
   *
   * <p>Waiting slows the sender down, which is what a full ring is for. An event put from the
   * duty's own thread is handled at once instead: it would wait for itself.
   */
  public void put(E event) {
    if (Thread.currentThread() == thread) {
      guarded(() -> handler.accept(event));
      return;
    }
    while (!offer(event)) {
      if (!running) {
        return;
      }
      LockSupport.parkNanos(FULL_PAUSE_NANOS);
    }
  }

  /** Returns how many events wait. */
  public int backlog() {
    return ring.size();
  }

  /** Stops the thread after the events offered so far. */
  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    if (Thread.currentThread() != thread && thread.isAlive()) {
      try {
        thread.join(JOIN_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void run() {
    long lastTick = Long.MIN_VALUE / 2;
    while (running || !ring.isEmpty()) {
      int handled = 0;
      @Nullable E event = ring.poll();
      while (event != null) {
        E taken = event;
        guarded(() -> handler.accept(taken));
        event = ++handled < BATCH ? ring.poll() : null;
      }
      long now = clock.nowMillis();
      if (now >= lastTick + period.getAsLong()) {
        guarded(() -> tick.accept(now));
        lastTick = now;
      }
      if (handled == 0) {
        // An event, or the tick itself, may have brought the next one forward.
        park(lastTick + period.getAsLong() - now);
      }
    }
  }

  private void park(long millis) {
    parked = true;
    if (ring.isEmpty() && running) {
      LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(Math.max(1, millis)));
    }
    parked = false;
  }

  @SuppressWarnings("CatchAndPrintStackTrace")
  private void guarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException | Error e) {
      // One bad event must not stop the duty: everything behind it would hang without an error.
      onFailure.accept(e);
    }
  }
}
