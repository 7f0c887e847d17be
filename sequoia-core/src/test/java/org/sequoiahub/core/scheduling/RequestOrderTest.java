package org.sequoiahub.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RequestOrderTest {

  private static WaitingRequest request(
      int priority, long arrived, int tokens, double use, boolean returned) {
    return new WaitingRequest(
        priority, arrived, arrived + 1_000, arrived + 5_000, tokens, use, returned);
  }

  private static void assertPrecedes(WaitingRequest a, WaitingRequest b, long now) {
    assertThat(RequestOrder.compare(a, b, now)).isLessThan(0);
    assertThat(RequestOrder.compare(b, a, now)).isGreaterThan(0);
  }

  @Test
  void putsUrgentSmallAndReturnedRequestsFirst() {
    assertPrecedes(request(0, 100, 900, 0, false), request(1, 0, 900, 0, false), 200);
    assertPrecedes(request(1, 100, 900, 0, false), request(1, 0, 9_000, 0, false), 200);
    assertPrecedes(request(1, 100, 900, 1, false), request(1, 0, 900, 2, false), 200);
    assertPrecedes(request(1, 100, 900, 0, true), request(1, 0, 900, 0, false), 200);
  }

  @Test
  void putsRequestsThatCanStillBeOnTimeFirst() {
    // Guards against a queue in which each request is just too late.
    assertPrecedes(request(1, 1_500, 900, 0, false), request(1, 0, 900, 0, false), 1_600);
  }

  @Property
  void starvesNoRequest(
      @ForAll @IntRange(max = 9) int priority,
      @ForAll @IntRange(max = 1_000_000) int tokens,
      @ForAll @LongRange(max = 100) long use,
      @ForAll boolean returned) {
    // Guards against allowances without bound, with which later requests always go first.
    WaitingRequest least = request(priority, 0, tokens, use, false);
    long bound =
        RequestOrder.PRIORITY_STEP_MILLIS * RequestOrder.MAX_PRIORITY_STEPS
            + RequestOrder.LATE_MILLIS
            + RequestOrder.MAX_SIZE_MILLIS
            + RequestOrder.MAX_OVERUSE_MILLIS
            + RequestOrder.RETURNED_MILLIS;
    assertPrecedes(least, request(0, bound + 1, 0, 0, returned), bound + 1);
  }
}
