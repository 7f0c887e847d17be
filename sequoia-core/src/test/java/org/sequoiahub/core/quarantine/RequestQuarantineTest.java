package org.sequoiahub.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.quarantine.QuarantineSimulation.Results;
import org.sequoiahub.core.quarantine.QuarantineSimulation.Scenario;

class RequestQuarantineTest {

  private static final long REQUEST = 7;
  private static final QuarantineSettings SETTINGS = QuarantineSettings.DEFAULT;

  private final RequestQuarantine quarantine = new RequestQuarantine(SETTINGS);

  private boolean ended(long runner, long started, long ended, boolean confirmed) {
    return quarantine.recordTermination(
        new RunnerTermination(REQUEST, runner, started, ended, false, confirmed), ended);
  }

  private void threeEnds() {
    ended(1, 0, 100, true);
    ended(2, 200, 300, true);
    ended(3, 400, 500, true);
  }

  @Nested
  class Counting {
    @Test
    void threeEndsOneAfterTheOtherHoldTheRequestBack() {
      ended(1, 0, 100, true);
      ended(2, 200, 300, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 301)).isEqualTo(Optional.empty());
      ended(3, 400, 500, true);
      ActiveQuarantine hold = quarantine.activeQuarantine(REQUEST, 501).orElseThrow();
      assertThat(hold.terminations()).hasSize(3);
      assertThat(hold.untilMillis()).isEqualTo(500 + SETTINGS.quarantineMillis());
    }

    /**
     * Symptom: a request that many callers ask is refused for minutes after a failure domain was
     * lost.
     *
     * <p>Events: copies of it were in flight at four runners when these went within 30 ms.
     *
     * <p>Cause: the ends of one failure counted as four.
     */
    @Test
    void copiesInFlightTogetherCountOnce() {
      for (int runner = 0; runner < 4; runner++) {
        ended(runner, 40 + runner, 100 + 10 * runner, true);
      }
      assertThat(quarantine.activeQuarantine(REQUEST, 200)).isEqualTo(Optional.empty());
    }

    @Test
    void theSameEndToldTwiceCountsOnce() {
      assertThat(ended(1, 0, 100, true)).isTrue();
      assertThat(ended(1, 0, 104, true)).isFalse();
      assertThat(ended(1, 200, 300, false)).isFalse();
    }
  }

  @Nested
  class AnswersThatHadBegun {
    private void endsMidway(int count) {
      for (int runner = 0; runner < count; runner++) {
        long started = 1_000L * runner;
        quarantine.recordTermination(
            new RunnerTermination(REQUEST, runner, started, started + 500, true, true),
            started + 500);
      }
    }

    @Test
    void countHalf() {
      endsMidway(5);
      assertThat(quarantine.activeQuarantine(REQUEST, 6_000)).isEqualTo(Optional.empty());
      endsMidway(6);
      assertThat(quarantine.activeQuarantine(REQUEST, 6_000)).isNotEqualTo(Optional.empty());
    }
  }

  @Nested
  class KnownGood {
    /**
     * Symptom: a request that a caller asks again and again is refused for minutes.
     *
     * <p>Events: it was in flight at three runners that ended under another one; then all hosts
     * held it back, so that it never had a good answer again.
     *
     * <p>Cause: its earlier good answers were forgotten.
     */
    @Test
    void needsTwiceAsMuch() {
      quarantine.recordSuccess(RequestFingerprint.checksumOf(REQUEST), 0);
      threeEnds();
      assertThat(quarantine.activeQuarantine(REQUEST, 501)).isEqualTo(Optional.empty());
      for (int runner = 4; runner <= 6; runner++) {
        ended(runner, 200 * runner, 200 * runner + 100, true);
      }
      assertThat(quarantine.activeQuarantine(REQUEST, 1_400)).isNotEqualTo(Optional.empty());
    }
  }

  @Nested
  class Proof {
    @Test
    void brokenConnectionsAloneCountForSecondsOnly() {
      ended(1, 0, 100, false);
      ended(2, 200, 300, false);
      ended(3, 400, 500, false);
      assertThat(quarantine.activeQuarantine(REQUEST, 501)).isNotEqualTo(Optional.empty());
      long later = 100 + SETTINGS.unconfirmedRetentionMillis();
      assertThat(quarantine.activeQuarantine(REQUEST, later)).isEqualTo(Optional.empty());
    }

    @Test
    void provedEndsCountOn() {
      ended(1, 0, 100, false);
      ended(2, 200, 300, false);
      ended(3, 400, 500, false);
      quarantine.confirmTerminations(runner -> true);
      long later = 100 + SETTINGS.unconfirmedRetentionMillis();
      assertThat(quarantine.activeQuarantine(REQUEST, later)).isNotEqualTo(Optional.empty());
    }
  }

  @Nested
  class LostMemory {
    /**
     * Symptom: a request that was held back ends three more runners after all hosts were down.
     *
     * <p>Cause: nothing is kept on a host beyond its process.
     */
    @Test
    void twoEndsAreEnoughWhileItMayHaveBeenHeldBackBefore() {
      quarantine.historyLost(true);
      ended(1, 0, 100, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 101)).isEqualTo(Optional.empty());
      ended(2, 200, 300, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 301)).isNotEqualTo(Optional.empty());
      quarantine.historyLost(false);
      assertThat(quarantine.activeQuarantine(REQUEST, 302)).isEqualTo(Optional.empty());
    }
  }

  @Nested
  class Release {
    @Test
    void goodAnswerClearsWhatWasBefore() {
      ended(1, 0, 100, true);
      ended(2, 200, 300, true);
      assertThat(quarantine.clear(REQUEST, 350)).isTrue();
      ended(3, 400, 500, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 501)).isEqualTo(Optional.empty());
      // Told once more by a host that does not know of the answer.
      assertThat(ended(1, 0, 100, true)).isFalse();
    }

    @Test
    void afterTheHoldOneMoreEndBringsItBack() {
      threeEnds();
      long until = 500 + SETTINGS.quarantineMillis();
      assertThat(quarantine.activeQuarantine(REQUEST, until)).isEqualTo(Optional.empty());
      ended(4, until, until + 50, true);
      assertThat(quarantine.activeQuarantine(REQUEST, until + 51)).isNotEqualTo(Optional.empty());
    }

    @Test
    void nothingIsKeptForEver() {
      threeEnds();
      quarantine.removeExpired(500 + SETTINGS.confirmedRetentionMillis());
      assertThat(quarantine.isEmpty()).isTrue();
    }
  }

  @Nested
  class Bounds {
    /** A caller that sends a million different requests, all of which lose their runner. */
    @Test
    void memoryIsBoundedAndWhatCountsMostStays() {
      threeEnds();
      for (int request = 100; request < 1_000_100; request++) {
        quarantine.recordTermination(
            new RunnerTermination(request, request, 600, 700, false, true), 700);
      }
      assertThat(quarantine.size()).isAtMost(2 * SETTINGS.maxRequests());
      assertThat(quarantine.activeQuarantine(REQUEST, 700)).isNotEqualTo(Optional.empty());
    }
  }

  /**
   * Plays minutes of eight runners under 50 requests a second: streams of their own, five requests
   * that are asked again and again, requests that end runners and are brought again every 0.3 to
   * 1.5 s, and the loss of a failure domain in the middle of that.
   *
   * <p>One deadly request, one send a call, 100 minutes. Before, without a quarantine: 5,580
   * runners ended, 4,996 of them later than 3 s after the third, with 69,337 attempts of others.
   * After: 300, none of them late, with 2,436.
   */
  @Nested
  class GuiltyAndInnocent {
    private static final int SEEDS = 100;
    private static final long NEVER = -1;
    private static final long AMID_THE_ENDS = 11_000;

    private Results play(Scenario load) {
      Results sum = new Results();
      for (long seed = 1; seed <= SEEDS; seed++) {
        sum.add(new QuarantineSimulation(seed, load).run());
      }
      assertWithMessage("deadly requests sent on past the bound, %s", load)
          .that(sum.deadlyRunsPastBound)
          .isEqualTo(0);
      return sum;
    }

    /** Three ends each, and few more where copies were in flight when the third came. */
    private void assertThreeEnds(Results figures, int deadly) {
      double each = (double) figures.deadlyRuns / SEEDS / deadly;
      assertThat(each).isAtLeast(3.0);
      assertThat(each).isAtMost(3.1);
    }

    @Test
    void lossOfDomainHoldsNothingBack() {
      for (int sends = 1; sends <= 3; sends++) {
        Results figures = play(new Scenario(true, false, 0, sends, AMID_THE_ENDS));
        assertThat(figures.innocentAttemptsLost).isAtLeast(SEEDS);
        assertThat(figures.innocentsQuarantined).isEqualTo(0);
      }
    }

    /** The aim: at most one innocent request in 10,000. */
    @Test
    void oneDeadlyRequest() {
      for (int sends = 1; sends <= 3; sends++) {
        for (long lostAt : new long[] {NEVER, AMID_THE_ENDS}) {
          Results figures = play(new Scenario(true, false, 1, sends, lostAt));
          assertThreeEnds(figures, 1);
          assertThat(figures.innocentsQuarantined * 10_000).isAtMost(figures.innocents);
          assertThat(figures.pollsQuarantined).isEqualTo(0);
        }
      }
    }

    /** The aim: at most one innocent request in 200, though nine runners end within seconds. */
    @Test
    void threeDeadlyRequestsAtOnce() {
      for (int sends = 1; sends <= 3; sends++) {
        Results figures = play(new Scenario(true, false, 3, sends, AMID_THE_ENDS));
        assertThreeEnds(figures, 3);
        assertThat(figures.innocentsQuarantined * 200).isAtMost(figures.innocents);
        assertThat(figures.pollsQuarantined).isEqualTo(0);
      }
    }

    /**
     * The aim: at most one innocent request in 1,000, for the minutes after all hosts were down.
     */
    @Test
    void oneDeadlyRequestAfterLossOfMemory() {
      for (int sends = 1; sends <= 3; sends++) {
        Results figures = play(new Scenario(true, true, 1, sends, NEVER));
        assertThat((double) figures.deadlyRuns / SEEDS).isAtMost(2.1);
        assertThat(figures.innocentsQuarantined * 10_000).isAtMost(figures.innocents);
        assertThat(figures.pollsQuarantined).isEqualTo(0);
      }
    }

    /** What the figures are compared with: the hosts forget each call. */
    @Test
    void withoutQuarantineRunnersEndOneAfterTheOther() {
      Results figures = new QuarantineSimulation(1, new Scenario(false, false, 1, 1, NEVER)).run();
      assertThat(figures.deadlyRunsPastBound).isAtLeast(30);
    }
  }
}
