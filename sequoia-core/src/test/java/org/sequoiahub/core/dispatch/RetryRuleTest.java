package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sequoiahub.core.dispatch.RetryRule.Ending;
import org.sequoiahub.core.routing.RepeatPolicy;

/**
 * Guards against a booking that is made twice and a request that runs on more runners than its
 * route allows, because a second run is allowed after a first one that may have happened. Attempts
 * end in every way, in any order, for every kind of request.
 */
class RetryRuleTest {

  @Property(tries = 5_000, seed = "20261214")
  void neverAllowsSecondRunOfNonRepeatableRequests(
      @ForAll Ending ending,
      @ForAll RepeatPolicy repetition,
      @ForAll @IntRange(min = 1, max = 5) int sends,
      @ForAll @IntRange(max = 4) int earlierRuns,
      @ForAll @IntRange(min = 1, max = 4) int maxAttempts,
      @ForAll @IntRange(max = 2_000) int left) {
    boolean thisMayHaveRun = ending == Ending.FAILED || ending == Ending.LOST;
    int runs = earlierRuns + (thisMayHaveRun ? 1 : 0);
    boolean again = RetryRule.mayRetry(ending, repetition, sends, runs, maxAttempts, left);
    if (again && runs > 0) {
      assertThat(repetition.allowsRerun()).isTrue();
      assertThat(runs).isLessThan(maxAttempts);
    }
    if (again) {
      assertThat(sends).isLessThan(RetryRule.MAX_SENDS);
    }
    boolean refusedWithAttemptsLeft =
        ending == Ending.REFUSED && runs == 0 && sends < 4 && left > 100;
    if (refusedWithAttemptsLeft) {
      assertThat(again).isTrue();
    }
  }
}
