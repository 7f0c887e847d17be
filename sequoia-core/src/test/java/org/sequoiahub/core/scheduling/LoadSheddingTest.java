package org.sequoiahub.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.scheduling.LoadShedding.Accepted;
import org.sequoiahub.core.scheduling.LoadShedding.Rejected;
import org.sequoiahub.core.scheduling.WaitPrediction.Outlook;

class LoadSheddingTest {

  private static final int TOKENS = 3_500;
  private static final double SPEED = 35;

  private final LoadShedding shedding = new LoadShedding();

  private static WaitingRequest request(double workspaceUse, boolean returned, long now) {
    return new WaitingRequest(1, now, now + 1_000, now + 5_000, TOKENS, workspaceUse, returned);
  }

  private LoadShedding.Decision decide(int checksum, double firstEventMillis, long now) {
    Outlook outlook = new Outlook(false, firstEventMillis, firstEventMillis);
    boolean returned = shedding.hasReturned(checksum, now);
    return shedding.decide(request(0, returned, now), true, checksum, outlook, SPEED, now);
  }

  private long retryAfter(int checksum, double firstEventMillis, long now) {
    return ((Rejected) decide(checksum, firstEventMillis, now)).retryAfterMillis();
  }

  @Test
  void acceptsWhileAnyRunnerIsFree() {
    // Guards against rejections by reservations or shares while capacity is idle.
    for (int i = 0; i < 100; i++) {
      decide(i, 9_000, 0);
    }
    Outlook free = new Outlook(true, 0, 20_000);
    assertThat(shedding.decide(request(7, false, 0), true, 1, free, SPEED, 0))
        .isInstanceOf(Accepted.class);
  }

  @Test
  void acceptsWaitingRequestsUntilItsDeadlineOnly() {
    // Guards against late rejections because of requests that arrived after this one.
    decide(1, 9_000, 0);
    WaitingRequest waiting = request(3, false, 0);
    Outlook justInTime = new Outlook(false, 5_000, 5_000);
    assertThat(shedding.decide(waiting, false, 2, justInTime, SPEED, 0))
        .isInstanceOf(Accepted.class);
    Outlook late = new Outlook(false, 5_001, 5_001);
    assertThat(shedding.decide(waiting, false, 2, late, SPEED, 0)).isInstanceOf(Rejected.class);
  }

  @Test
  void rejectsTheExcessOfOneWorkspaceFirst() {
    // Guards against one workspace filling the queue that makes the others late.
    Outlook outlook = new Outlook(false, 600, 600);
    assertThat(shedding.decide(request(1.5, false, 0), true, 1, outlook, SPEED, 0))
        .isInstanceOf(Rejected.class);
    assertThat(shedding.decide(request(1, false, 0), true, 2, outlook, SPEED, 0))
        .isInstanceOf(Accepted.class);
  }

  @Test
  void rejectsWithoutCandidates() {
    // Guards against an overflow of the time to retry.
    assertThat(retryAfter(1, Double.POSITIVE_INFINITY, 0))
        .isEqualTo(LoadShedding.MAX_RETRY_AFTER_MILLIS);
  }

  @Test
  void refusesSpeedZero() {
    Outlook outlook = new Outlook(false, 0, 0);
    assertThrows(
        IllegalArgumentException.class,
        () -> shedding.decide(request(0, false, 0), true, 1, outlook, 0, 0));
  }

  @Nested
  class Retries {

    @Test
    void areSpreadOverTheCapacity() {
      // Guards against callers that all return at the same moment.
      long first = retryAfter(1, 4_000, 0);
      assertThat(retryAfter(2, 4_000, 0)).isEqualTo(first + 100);
      assertThat(retryAfter(3, 4_000, 0)).isEqualTo(first + 200);
    }

    @Test
    void gainNothingWhenTheyAreEarly() {
      // Guards against callers that get ahead of others by retrying at once.
      long first = retryAfter(1, 4_000, 0);
      assertThat(retryAfter(1, 4_000, 10)).isEqualTo(first - 10);
      assertThat(shedding.hasReturned(1, 10)).isFalse();
    }

    @Test
    void areServedInTheirTimeBeforeNewRequests() {
      // Guards against new requests that take the capacity which rejected ones were promised.
      long first = retryAfter(1, 4_000, 0);
      assertThat(shedding.hasReturned(1, first)).isTrue();
      assertThat(decide(2, 1_950, first)).isInstanceOf(Rejected.class);
      assertThat(decide(1, 1_950, first)).isInstanceOf(Accepted.class);
    }

    @Test
    void loseTheirPlaceWhenTheyComeTooLate() {
      // Guards against capacity that stays reserved for callers that have gone.
      long late = retryAfter(1, 4_000, 0) + LoadShedding.RESERVATION_MILLIS;
      assertThat(shedding.hasReturned(1, late)).isFalse();
      assertThat(decide(2, 1_950, late)).isInstanceOf(Accepted.class);
    }

    @Test
    void loseTheirPlaceOnceTheyHaveStarted() {
      // Guards against one rejection that gives precedence to many equal requests.
      long first = retryAfter(1, 4_000, 0);
      shedding.started(1);
      assertThat(shedding.hasReturned(1, first)).isFalse();
    }
  }
}
