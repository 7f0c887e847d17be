package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunningTimeTest {

  private final RunningTime time = new RunningTime();

  @Nested
  class OfProcessThatIsNeverPaused {

    @Test
    void advancesWithClock() {
      assertThat(time.runningNanos(500) - time.runningNanos(100)).isEqualTo(400);
    }
  }

  @Nested
  class OfPausedProcess {

    @Test
    void doesNotAdvance() {
      long before = time.runningNanos(100);
      time.markPaused(150);
      assertThat(time.runningNanos(200) - before).isEqualTo(50);
      assertThat(time.runningNanos(9_000) - before).isEqualTo(50);
    }

    @Test
    void advancesAfterResume() {
      time.markPaused(150);
      time.markPaused(160);
      time.markResumed(1_150);
      time.markResumed(1_160);
      assertThat(time.runningNanos(1_200) - time.runningNanos(1_150)).isEqualTo(50);
      assertThat(time.runningNanos(1_200)).isEqualTo(200);
    }
  }
}
