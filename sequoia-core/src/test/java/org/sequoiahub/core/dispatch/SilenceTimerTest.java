package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against silence that is counted while the host itself was not running. */
class SilenceTimerTest {

  private final SilenceTimer timer = new SilenceTimer();

  private long checkEvery(long step, long fromMillis, long toMillis, long progressMillis) {
    long silent = 0;
    for (long now = fromMillis; now <= toMillis; now += step) {
      silent = timer.check(progressMillis, now);
    }
    return silent;
  }

  @Test
  void countsTheTimeSinceTheLastProgress() {
    assertThat(checkEvery(25, 1_000, 3_000, 1_000)).isEqualTo(2_000);
  }

  @Test
  void startsAnewWithEachProgress() {
    checkEvery(25, 1_000, 3_000, 1_000);
    assertThat(timer.check(2_990, 3_025)).isEqualTo(35);
    assertThat(timer.check(2_990, 3_050)).isEqualTo(60);
  }

  @Test
  void hostThatWasSuspendedCountsOneStep() {
    checkEvery(25, 1_000, 1_500, 1_000);
    assertThat(timer.check(1_000, 9_000)).isEqualTo(500 + SilenceTimer.MAX_STEP_MILLIS);
  }

  @Test
  void firstCheckOfLongSilenceCountsOneStep() {
    assertThat(timer.check(1_000, 9_000)).isEqualTo(SilenceTimer.MAX_STEP_MILLIS);
  }

  @Test
  void progressAfterTheCheckCountsNothing() {
    assertThat(timer.check(1_010, 1_000)).isEqualTo(0);
  }
}
