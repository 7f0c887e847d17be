package org.sequoiahub.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeakArrivalRateTest {

  private final PeakArrivalRate rate = new PeakArrivalRate(3);

  private void arrive(int count, long atMillis) {
    for (int i = 0; i < count; i++) {
      rate.recordArrival(atMillis);
    }
  }

  @Nested
  class BusiestSecond {

    @Test
    void ofTheRememberedSecondsIsReturned() {
      arrive(5, 10_000);
      arrive(9, 11_500);
      arrive(2, 12_999);
      assertThat(rate.perSecond(12_999)).isEqualTo(9);
    }

    @Test
    void isForgottenAfterTheRememberedSeconds() {
      arrive(9, 10_000);
      arrive(2, 12_000);
      assertThat(rate.perSecond(13_999)).isEqualTo(9);
      assertThat(rate.perSecond(14_000)).isEqualTo(2);
      assertThat(rate.perSecond(60_000)).isEqualTo(0);
    }
  }

  @Nested
  class NoArrivals {

    @Test
    void haveRateZero() {
      assertThat(rate.perSecond(5_000)).isEqualTo(0);
    }
  }
}
