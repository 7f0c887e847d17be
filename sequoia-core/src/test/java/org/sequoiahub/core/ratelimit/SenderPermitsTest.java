package org.sequoiahub.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SenderPermitsTest {

  private static final String RUNNER = "i-1";

  private final RunnerLimits limits =
      new RunnerLimits(1, (runner, before, after, fromPeer, nowMillis) -> {});
  private final IssuerFollowing following = new IssuerFollowing("me", true, 0);
  private final SenderPermits permits = new SenderPermits(limits, following);

  @BeforeEach
  void follow() {
    following.prefer("a", false, 0);
    limits.observe(RUNNER, new StatedLimit.Rate(1), 0, 10);
  }

  private static PermitGrant grant(int count, long waitMillis) {
    return new PermitGrant(RUNNER, count, waitMillis);
  }

  @Test
  void callsToRunnersWithoutLimitNeedNoPermit() {
    assertThat(permits.tryAcquire("i-2", "call", 0, 20)).isTrue();
    assertThat(permits.waitMillis("i-2", "call", 0, 1, 20)).isEqualTo(0);
    assertThat(permits.demands(20)).isEmpty();
  }

  @Test
  void permitServesOneCall() {
    assertThat(permits.tryAcquire(RUNNER, "first", 0, 20)).isFalse();
    assertThat(permits.demands(20)).containsExactly(new PermitDemand(RUNNER, 0, 1));
    permits.receiveGrant(grant(1, 1_000), 30);
    assertThat(permits.tryAcquire(RUNNER, "first", 0, 40)).isTrue();
    assertThat(permits.tryAcquire(RUNNER, "second", 0, 40)).isFalse();
  }

  /** Guards against permits that pile up and are used at once. */
  @Test
  void permitLapsesAndIsGivenBack() {
    permits.receiveGrant(grant(1, 0), 100);
    assertThat(permits.tryAcquire(RUNNER, "call", 0, 600)).isFalse();
    assertThat(permits.takeLapsed(600)).containsExactly(RUNNER, 1);
    assertThat(permits.takeLapsed(600)).isEmpty();
  }

  @Test
  void moreUrgentCallThatWaitsGetsThePermit() {
    permits.tryAcquire(RUNNER, "urgent", 0, 20);
    permits.receiveGrant(grant(1, 0), 30);
    assertThat(permits.tryAcquire(RUNNER, "other", 1, 40)).isFalse();
    assertThat(permits.tryAcquire(RUNNER, "urgent", 0, 40)).isTrue();
  }

  @Test
  void requestThatIsNotRepeatedLapses() {
    permits.tryAcquire(RUNNER, "call", 0, 20);
    assertThat(permits.demands(400)).isEmpty();
  }

  @Test
  void waitFollowsTheIssuersEstimate() {
    permits.tryAcquire(RUNNER, "queued", 0, 20);
    permits.receiveGrant(grant(0, 3_000), 30);
    assertThat(permits.waitMillis(RUNNER, "queued", 0, 1, 1_030)).isEqualTo(2_000);
    assertThat(permits.waitMillis(RUNNER, "new", 0, 1, 1_030)).isEqualTo(3_000);
    assertThat(permits.waitMillis(RUNNER, "new", 0, 3, 1_030)).isEqualTo(5_000);
  }

  @Test
  void permitAfterTheDeadlineOrBehindOthersAfterTheTargetIsOfNoUse() {
    permits.receiveGrant(grant(0, 3_000), 30);
    assertThat(permits.isTooLate(RUNNER, 3_000, 1_000, 6_000, 40)).isTrue();
    assertThat(permits.isTooLate(RUNNER, 3_000, 1_000, 2_000, 40)).isTrue();
    assertThat(permits.isTooLate(RUNNER, 3_000, 4_000, 6_000, 40)).isFalse();
    permits.receiveGrant(grant(0, 900), 50);
    assertThat(permits.isTooLate(RUNNER, 900, 500, 6_000, 60)).isFalse();
  }

  @Test
  void runnerWithOutdatedLimitIsAskedAgain() {
    assertThat(permits.waitMillis(RUNNER, "call", 0, 1, 6_000)).isEqualTo(0);
    permits.receiveGrant(grant(0, 800), 6_000);
    assertThat(permits.waitMillis(RUNNER, "call", 0, 1, 6_100)).isGreaterThan(0);
  }
}
