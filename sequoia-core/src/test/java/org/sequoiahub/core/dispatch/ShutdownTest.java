package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ShutdownTest {

  private static final long ASKED = 27_300;
  private static final Shutdown SHUTDOWN = new Shutdown(ASKED, 8_000);

  /**
   * Symptom: a caller's connection closes without an answer while a host stops as planned.
   *
   * <p>Events: the signal comes at 27.300 s with 8 s of grace; a stream with a deadline of 5 s
   * arrives at 30.559 s and is taken; the process ends at 34.2 s with the stream in progress.
   *
   * <p>Cause: requests were taken for 3.6 s whatever time they may need, and all were ended after
   * 6.9 s.
   */
  @Nested
  class LateRequests {
    @Test
    void streamThatMayOutliveTheProcessIsRefused() {
      assertThat(SHUTDOWN.accepts(5_000, 30_559)).isFalse();
    }

    @Test
    void shortRequestIsStillTaken() {
      assertThat(SHUTDOWN.accepts(800, 30_559)).isTrue();
    }

    @Test
    void callersWithTheAddressInHandAreServedAtFirst() {
      assertThat(SHUTDOWN.accepts(5_000, ASKED + 1_000)).isTrue();
    }
  }

  /** Whatever is taken late has its final word before the process ends, whatever its length. */
  @Property(tries = 2_000, seed = "20261222")
  void whatIsTakenLateFits(
      @ForAll @IntRange(min = 100, max = 30_000) int grace,
      @ForAll @IntRange(min = 1, max = 60_000) int wanted,
      @ForAll @IntRange(max = 30_000) int after) {
    Shutdown shutdown = new Shutdown(ASKED, grace);
    long now = ASKED + after;
    if (shutdown.accepts(wanted, now) && !shutdown.acceptsAll(now)) {
      assertThat(now + wanted).isLessThan(shutdown.endMillis());
    }
    assertThat(shutdown.endMillis()).isLessThan(ASKED + grace);
  }
}
