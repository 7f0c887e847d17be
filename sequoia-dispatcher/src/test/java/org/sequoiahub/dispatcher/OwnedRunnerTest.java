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
   * Guards against two dispatchers that claim a runner from each other in alternation, so that
   * neither holds it for long enough to evict and requests for adapters that are not loaded wait
   * until their deadline.
   *
   * <p>This happened after the owner had been paused for seven seconds: entries had the runner
   * claimed by another dispatcher, the owner reclaimed it, and the next entry that still avoided
   * the owner had it claimed again. It went on for as long as requests arrived.
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
   * Guards against requests that are refused with no-authority right after a start of the whole
   * fleet.
   *
   * <p>Each lease granter abstains for one term after its start, which is three rounds of claims. A
   * dispatcher that stops claiming after as many rounds refuses the request, and so does each of
   * the three hosts that may claim the runner.
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
