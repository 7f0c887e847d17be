package org.sequoiahub.dispatcher;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.fleet.Fleet.State;
import org.sequoiahub.core.runner.PolicySettings;

class OwnedRunnerTest {

  private static final Runner RUNNER =
      new Runner("r1", "127.0.0.1:1", "d1", State.LIVE, "m1", 2, 4, true);

  private final OwnedRunner owned = new OwnedRunner(RUNNER, PolicySettings.ashcombe(), 4_000, 7, 0);

  /**
   * Symptom: after a dispatcher was paused for seven seconds, requests for adapters that were not
   * loaded waited until their deadline, for as long as the load went on.
   *
   * <p>Events: entries took the paused dispatcher's runner to another dispatcher; the owner woke
   * and claimed it back; the next entry that still avoided the owner had it claimed again, and so
   * on.
   *
   * <p>Cause: a dispatcher that was pre-empted claimed again at the next wish, so neither was ever
   * alone for long enough to evict.
   */
  @Nested
  class AfterPreemptionByTheOwner {

    @Test
    void claimRequestsAreRefusedUntilThePauseEnds() {
      assertThat(owned.requestClaim(1_000, 4_000)).isTrue();
      assertThat(owned.isClaimRequested(1_001)).isTrue();
      owned.preempted(2_000, 20_000);
      assertThat(owned.isClaimRequested(2_001)).isFalse();
      assertThat(owned.requestClaim(21_999, 4_000)).isFalse();
      assertThat(owned.requestClaim(22_000, 4_000)).isTrue();
    }
  }

  /**
   * Symptom: right after the whole fleet was started, a request is refused with no-authority.
   *
   * <p>Events: every lease granter has just started and abstains for one term, which is three
   * rounds of claims; all three hosts that may have the runner refuse in turn.
   *
   * <p>Cause: claims were given up after as many rounds as the granters abstain for.
   */
  @Test
  void claimsContinueWhileNewGrantersAbstain() {
    for (int round = 0; round < 5; round++) {
      owned.claimRoundStarted();
      assertThat(owned.cannotGainAuthority()).isFalse();
    }
    owned.claimRoundStarted();
    owned.claimRoundStarted();
    assertThat(owned.cannotGainAuthority()).isTrue();
  }

  @Test
  void claimRequestExpires() {
    assertThat(owned.requestClaim(0, 4_000)).isTrue();
    assertThat(owned.isClaimRequested(3_999)).isTrue();
    assertThat(owned.isClaimRequested(4_000)).isFalse();
  }
}
