package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ShutdownTest {

  private static final long REQUESTED_MILLIS = 27_300;
  private static final Shutdown SHUTDOWN = new Shutdown(REQUESTED_MILLIS, 8_000);

  /**
   * Guards against a caller's connection that closes without a response during a planned shutdown.
   * The signal arrives at 27.300 s with 8 s of grace; a stream with a deadline of 5 s arrives at
   * 30.559 s. If requests are accepted for 3.6 s whatever time they need and all of them are ended
   * after 6.9 s, the process ends at 34.2 s with the stream in progress.
   */
  @Nested
  class LateRequests {
    @Test
    void streamThatMayOutliveTheProcessIsRejected() {
      assertThat(SHUTDOWN.accepts(5_000, 30_559)).isFalse();
    }

    @Test
    void shortRequestIsStillAccepted() {
      assertThat(SHUTDOWN.accepts(800, 30_559)).isTrue();
    }

    @Test
    void anyRequestIsAcceptedAtFirst() {
      assertThat(SHUTDOWN.accepts(5_000, REQUESTED_MILLIS + 1_000)).isTrue();
    }
  }

  /**
   * Guards against hosts that are killed while they exit: beside load the exit takes more than the
   * 0.56 s that a fixed fraction leaves of a grace time of 4 s.
   */
  @Nested
  class ExitTime {
    @Test
    void ofShortGraceTimeIsTheMinimum() {
      assertThat(new Shutdown(REQUESTED_MILLIS, 4_000).endMillis())
          .isEqualTo(REQUESTED_MILLIS + 3_150);
    }

    @Test
    void ofLongGraceTimeIsFractionOfIt() {
      assertThat(SHUTDOWN.endMillis()).isEqualTo(REQUESTED_MILLIS + 6_880);
    }

    @Test
    void isAtMostQuarterOfTheGraceTime() {
      assertThat(new Shutdown(REQUESTED_MILLIS, 1_000).endMillis())
          .isEqualTo(REQUESTED_MILLIS + 750);
    }
  }

  /** A request that is accepted late finishes before the process ends, whatever its timeout. */
  @Property(tries = 2_000, seed = "20261222")
  void lateAcceptedRequestsFinishBeforeTheEnd(
      @ForAll @IntRange(min = 100, max = 30_000) int grace,
      @ForAll @IntRange(min = 1, max = 60_000) int wanted,
      @ForAll @IntRange(max = 30_000) int after) {
    Shutdown shutdown = new Shutdown(REQUESTED_MILLIS, grace);
    long now = REQUESTED_MILLIS + after;
    if (shutdown.accepts(wanted, now) && !shutdown.acceptsAll(now)) {
      assertThat(now + wanted).isLessThan(shutdown.endMillis());
    }
    assertThat(shutdown.endMillis()).isLessThan(REQUESTED_MILLIS + grace);
  }
}
