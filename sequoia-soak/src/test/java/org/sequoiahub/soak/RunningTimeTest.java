package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunningTimeTest {

  private final RunningTime time = new RunningTime();

  @Nested
  class OfProcessThatIsNeverPaused {

    @Test
    void goesOnWithTheClock() {
      assertThat(time.nanos(500) - time.nanos(100)).isEqualTo(400);
    }
  }

  @Nested
  class OfPausedProcess {

    @Test
    void standsStill() {
      long before = time.nanos(100);
      time.paused(150);
      assertThat(time.nanos(200) - before).isEqualTo(50);
      assertThat(time.nanos(9_000) - before).isEqualTo(50);
    }

    @Test
    void goesOnAfterThePause() {
      time.paused(150);
      time.paused(160);
      time.resumed(1_150);
      time.resumed(1_160);
      assertThat(time.nanos(1_200) - time.nanos(1_150)).isEqualTo(50);
      assertThat(time.nanos(1_200)).isEqualTo(200);
    }
  }
}
