package org.sequoiahub.runtime.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DutyTest {

  private static final long HOUR_MILLIS = 3_600_000;

  /** Terminates a hanging test; does not affect the result otherwise. */
  private static final long TIMEOUT_SECONDS = 60;

  /**
   * Guards against work that becomes due by an event but waits for the tick scheduled before it:
   * the period is long while nothing is due, an event shortens it, but the next tick was scheduled
   * only once, when the last one ended.
   */
  @Test
  void eventAdvancesNextTick() throws InterruptedException {
    AtomicLong period = new AtomicLong(HOUR_MILLIS);
    CountDownLatch first = new CountDownLatch(1);
    CountDownLatch second = new CountDownLatch(2);
    try (Duty<Long> duty =
        new Duty<>(
            "test",
            16,
            period::get,
            period::set,
            now -> {
              first.countDown();
              second.countDown();
            },
            failure -> {},
            MonotonicClock.SYSTEM)) {
      duty.start();
      assertThat(first.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      duty.put(1L);
      assertThat(second.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }

  /**
   * Guards against hosts whose processor time goes into wake-ups: an event that can wait for the
   * next tick must not wake the thread, and must still be handled before that tick.
   */
  @Test
  void deferredEventWaitsForNextTick() throws InterruptedException {
    AtomicLong handledEvents = new AtomicLong();
    AtomicLong handledBeforeTick = new AtomicLong(-1);
    CountDownLatch firstTick = new CountDownLatch(1);
    CountDownLatch secondTick = new CountDownLatch(2);
    try (Duty<Long> duty =
        new Duty<>(
            "test",
            16,
            () -> 300,
            event -> handledEvents.incrementAndGet(),
            now -> {
              handledBeforeTick.set(handledEvents.get());
              firstTick.countDown();
              secondTick.countDown();
            },
            failure -> {},
            MonotonicClock.SYSTEM)) {
      duty.start();
      assertThat(firstTick.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(duty.offerDeferred(1L)).isTrue();
      assertThat(secondTick.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(handledBeforeTick.get()).isEqualTo(1);
    }
  }
}
