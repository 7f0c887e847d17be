package org.sequoiahub.runtime.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DutyTest {

  private static final long HOUR_MILLIS = 3_600_000;

  /** Ends a test that hangs; nothing is judged by it. */
  private static final long PATIENCE_SECONDS = 60;

  /**
   * Symptom: what an event made due waits for the tick that was planned before it.
   *
   * <p>Events: the period is long as nothing is due; an event makes it short.
   *
   * <p>Cause looked for: the next tick planned once, when the last one ended.
   */
  @Test
  void eventBringsTheNextTickForward() throws InterruptedException {
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
      assertThat(first.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
      duty.put(1L);
      assertThat(second.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
  }
}
