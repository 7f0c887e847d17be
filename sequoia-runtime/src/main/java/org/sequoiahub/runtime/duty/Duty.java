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
 * An event loop: a single thread that handles events from a bounded ring and runs a periodic tick.
 *
 * <p>Any thread may offer events; the duty's thread handles them in order, with ticks in between.
 * State that only the handler and the tick access needs no lock.
 *
 * @param <E> the type of events
 */
public final class Duty<E> implements AutoCloseable {

  private static final int MAX_BATCH_SIZE = 256;
  private static final long FULL_RING_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(50);
  private static final long JOIN_TIMEOUT_MILLIS = 5_000;

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
   * @param period the maximum interval between calls of {@code tick} (ms), evaluated again after
   *     each tick and each event
   * @param handler handles one event
   * @param tick performs the work that is due at the given time (ms)
   * @param onFailure receives what the handler or tick threw; the duty continues
   * @param clock the clock for ticks
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

  /** Offers an event; false if the ring is full, so that the caller can reject the work. */
  public boolean offer(E event) {
    boolean accepted = ring.offer(event);
    if (parked) {
      LockSupport.unpark(thread);
    }
    return accepted;
  }

  /**
   * Offers an event that need not be handled before the next tick: the thread is not woken for it.
   *
   * @return false if the ring is full
   */
  public boolean offerDeferred(E event) {
    return ring.offer(event);
  }

  /**
   * Puts an event that must not be lost, waiting while the ring is full.
   *
   * <p>The wait applies backpressure to the sender. An event put from the duty's own thread is
   * handled immediately, as that thread would otherwise wait for itself.
   */
  public void put(E event) {
    if (Thread.currentThread() == thread) {
      runGuarded(() -> handler.accept(event));
      return;
    }
    while (!offer(event)) {
      if (!running) {
        return;
      }
      LockSupport.parkNanos(FULL_RING_PAUSE_NANOS);
    }
  }

  /** Returns the number of events in the ring. */
  public int backlog() {
    return ring.size();
  }

  /** Stops the thread after the events offered so far; waits for it with a timeout. */
  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    if (Thread.currentThread() != thread && thread.isAlive()) {
      try {
        thread.join(JOIN_TIMEOUT_MILLIS);
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
        E current = event;
        runGuarded(() -> handler.accept(current));
        event = ++handled < MAX_BATCH_SIZE ? ring.poll() : null;
      }
      long now = clock.nowMillis();
      if (now >= lastTick + period.getAsLong()) {
        runGuarded(() -> tick.accept(now));
        lastTick = now;
      }
      if (handled == 0) {
        // An event or the tick itself may have shortened the period.
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
  private void runGuarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException | Error e) {
      // A failing event must not stop the duty: all later events would hang without an error.
      onFailure.accept(e);
    }
  }
}
