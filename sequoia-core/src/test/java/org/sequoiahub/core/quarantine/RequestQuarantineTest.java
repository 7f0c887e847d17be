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

  private boolean recordTermination(
      long runner, long startedMillis, long endedMillis, boolean confirmed) {
    return quarantine.recordTermination(
        new RunnerTermination(REQUEST, runner, startedMillis, endedMillis, false, confirmed),
        endedMillis);
  }

  private static RunnerTermination termination(long runner, long endedMillis) {
    return new RunnerTermination(REQUEST, runner, endedMillis - 100, endedMillis, false, true);
  }

  private void terminateThreeRunners() {
    recordTermination(1, 0, 100, true);
    recordTermination(2, 200, 300, true);
    recordTermination(3, 400, 500, true);
  }

  @Nested
  class Counting {
    @Test
    void threeSequentialTerminationsQuarantineTheRequest() {
      recordTermination(1, 0, 100, true);
      recordTermination(2, 200, 300, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 301)).isEqualTo(Optional.empty());
      recordTermination(3, 400, 500, true);
      ActiveQuarantine active = quarantine.activeQuarantine(REQUEST, 501).orElseThrow();
      assertThat(active.terminations()).hasSize(3);
      assertThat(active.untilMillis()).isEqualTo(500 + SETTINGS.quarantineMillis());
    }

    /**
     * Guards against a popular request that is rejected for minutes after the loss of a failure
     * domain.
     *
     * <p>Copies of it were in flight on four runners that terminated within 30 ms, and this one
     * failure counted as four terminations.
     */
    @Test
    void copiesInFlightAtTheSameTimeCountOnce() {
      for (int runner = 0; runner < 4; runner++) {
        recordTermination(runner, 40 + runner, 100 + 10 * runner, true);
      }
      assertThat(quarantine.activeQuarantine(REQUEST, 200)).isEqualTo(Optional.empty());
    }

    @Test
    void terminationReportedTwiceCountsOnce() {
      assertThat(recordTermination(1, 0, 100, true)).isTrue();
      assertThat(recordTermination(1, 0, 104, true)).isFalse();
      assertThat(recordTermination(1, 200, 300, false)).isFalse();
    }
  }

  /** Guards against terminations in sequence that count once, as one report of them was late. */
  @Nested
  class LateReports {
    @Test
    void repeatedReportCorrectsTheTimes() {
      recordTermination(1, 0, 100, true);
      recordTermination(2, 101 + 40, 200 + 40, true);
      recordTermination(3, 201, 300, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 300)).isEqualTo(Optional.empty());
      assertThat(recordTermination(2, 101, 200, true)).isFalse();
      assertThat(quarantine.activeQuarantine(REQUEST, 500)).isNotEqualTo(Optional.empty());
    }

    @Test
    void laterReportOfTheSameTerminationChangesNothing() {
      terminateThreeRunners();
      recordTermination(2, 200 + 150, 300 + 150, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 501)).isNotEqualTo(Optional.empty());
    }
  }

  @Nested
  class StartedResponses {
    private void terminateAfterResponseStart(int count) {
      for (int runner = 0; runner < count; runner++) {
        long started = 1_000L * runner;
        quarantine.recordTermination(
            new RunnerTermination(REQUEST, runner, started, started + 500, true, true),
            started + 500);
      }
    }

    @Test
    void countHalf() {
      terminateAfterResponseStart(5);
      assertThat(quarantine.activeQuarantine(REQUEST, 6_000)).isEqualTo(Optional.empty());
      terminateAfterResponseStart(6);
      assertThat(quarantine.activeQuarantine(REQUEST, 6_000)).isNotEqualTo(Optional.empty());
    }
  }

  @Nested
  class KnownGood {
    /**
     * Guards against a frequently repeated request that is rejected for minutes.
     *
     * <p>It was in flight on three runners that terminated because of another request. All hosts
     * then quarantined it, so it never had a successful response again: its earlier ones were
     * forgotten.
     */
    @Test
    void needsTwiceAsManyTerminations() {
      quarantine.recordSuccess(RequestFingerprint.ofValue(REQUEST), 0);
      terminateThreeRunners();
      assertThat(quarantine.activeQuarantine(REQUEST, 501)).isEqualTo(Optional.empty());
      for (int runner = 4; runner <= 6; runner++) {
        recordTermination(runner, 200 * runner, 200 * runner + 100, true);
      }
      assertThat(quarantine.activeQuarantine(REQUEST, 1_400)).isNotEqualTo(Optional.empty());
    }
  }

  @Nested
  class Confirmation {
    @Test
    void brokenConnectionsAloneCountForSecondsOnly() {
      recordTermination(1, 0, 100, false);
      recordTermination(2, 200, 300, false);
      recordTermination(3, 400, 500, false);
      assertThat(quarantine.activeQuarantine(REQUEST, 501)).isNotEqualTo(Optional.empty());
      long later = 100 + SETTINGS.unconfirmedRetentionMillis();
      assertThat(quarantine.activeQuarantine(REQUEST, later)).isEqualTo(Optional.empty());
    }

    @Test
    void confirmedTerminationsContinueToCount() {
      recordTermination(1, 0, 100, false);
      recordTermination(2, 200, 300, false);
      recordTermination(3, 400, 500, false);
      quarantine.confirmTerminations(runner -> true);
      long later = 100 + SETTINGS.unconfirmedRetentionMillis();
      assertThat(quarantine.activeQuarantine(REQUEST, later)).isNotEqualTo(Optional.empty());
    }
  }

  @Nested
  class LostHistory {
    /**
     * Guards against a quarantined request that terminates three more runners after all hosts were
     * down.
     *
     * <p>A host keeps no records beyond its process.
     */
    @Test
    void twoTerminationsSufficeWhileHistoryIsLost() {
      quarantine.historyLost(true);
      recordTermination(1, 0, 100, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 101)).isEqualTo(Optional.empty());
      recordTermination(2, 200, 300, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 301)).isNotEqualTo(Optional.empty());
      quarantine.historyLost(false);
      assertThat(quarantine.activeQuarantine(REQUEST, 302)).isEqualTo(Optional.empty());
    }
  }

  @Nested
  class Release {
    @Test
    void successfulResponseClearsEarlierTerminations() {
      recordTermination(1, 0, 100, true);
      recordTermination(2, 200, 300, true);
      assertThat(quarantine.clear(REQUEST, 350)).isTrue();
      recordTermination(3, 400, 500, true);
      assertThat(quarantine.activeQuarantine(REQUEST, 501)).isEqualTo(Optional.empty());
      // Reported again by a host that does not know of the response.
      assertThat(recordTermination(1, 0, 100, true)).isFalse();
    }

    /** Guards against a request that is rejected although it was served after each termination. */
    @Test
    void successBeforeTheNewsOfTheTerminationsDiscardsThem() {
      quarantine.recordSuccess(RequestFingerprint.ofValue(REQUEST), 500);
      assertThat(recordTermination(1, 0, 100, true)).isFalse();
      assertThat(recordTermination(2, 200, 300, true)).isFalse();
      assertThat(recordTermination(3, 400, 500, true)).isFalse();
      assertThat(quarantine.isEmpty()).isTrue();
      assertThat(recordTermination(4, 900, 1_000, true)).isTrue();
    }

    @Test
    void successBeforeTheNewsIsAnnouncedOnce() {
      quarantine.recordSuccess(RequestFingerprint.ofValue(REQUEST), 500);
      assertThat(quarantine.unannouncedSuccessAfter(termination(1, 400)))
          .isEqualTo(Optional.of(500L));
      quarantine.clear(REQUEST, 500);
      assertThat(quarantine.unannouncedSuccessAfter(termination(2, 300)))
          .isEqualTo(Optional.empty());
      assertThat(quarantine.successAfter(termination(2, 300))).isEqualTo(Optional.of(500L));
    }

    @Test
    void clearingBeforeTheNewsOfTheTerminationsDiscardsThem() {
      assertThat(quarantine.clear(REQUEST, 500)).isFalse();
      terminateThreeRunners();
      assertThat(quarantine.isEmpty()).isTrue();
    }

    @Test
    void successOfAnotherRequestWithTheSameChecksumDiscardsNothing() {
      quarantine.recordSuccess(RequestFingerprint.ofValue(REQUEST + 1), 500);
      assertThat(recordTermination(1, 0, 100, true)).isTrue();
    }

    /** Guards against a late report that outlives the success which its correction precedes. */
    @Test
    void correctedReportThatPrecedesTheSuccessDiscardsTheLateOne() {
      quarantine.recordSuccess(RequestFingerprint.ofValue(REQUEST), 500);
      assertThat(recordTermination(1, 500, 600, true)).isTrue();
      assertThat(recordTermination(1, 300, 400, true)).isFalse();
      assertThat(quarantine.isEmpty()).isTrue();
    }

    @Test
    void oneTerminationAfterExpiryRestoresTheQuarantine() {
      terminateThreeRunners();
      long until = 500 + SETTINGS.quarantineMillis();
      assertThat(quarantine.activeQuarantine(REQUEST, until)).isEqualTo(Optional.empty());
      recordTermination(4, until, until + 50, true);
      assertThat(quarantine.activeQuarantine(REQUEST, until + 51)).isNotEqualTo(Optional.empty());
    }

    @Test
    void terminationsExpire() {
      terminateThreeRunners();
      quarantine.removeExpired(500 + SETTINGS.confirmedRetentionMillis());
      assertThat(quarantine.isEmpty()).isTrue();
    }
  }

  @Nested
  class Bounds {
    /** A caller sends a million different requests, each of which loses its runner. */
    @Test
    void memoryIsBoundedAndRepeatedTerminationsStay() {
      terminateThreeRunners();
      for (int request = 100; request < 1_000_100; request++) {
        quarantine.recordTermination(
            new RunnerTermination(request, request, 600, 700, false, true), 700);
      }
      assertThat(quarantine.size()).isAtMost(2 * SETTINGS.maxRequests());
      assertThat(quarantine.activeQuarantine(REQUEST, 700)).isNotEqualTo(Optional.empty());
    }
  }

  /**
   * Simulates minutes of eight runners under 50 requests a second: unique streams, five requests
   * that are repeated all the time, requests that terminate runners and are repeated every 0.3 to
   * 1.5 s, and the loss of a failure domain in between.
   *
   * <p>Without a quarantine, a single deadly request terminates runners for as long as it is
   * repeated; with it, each deadly request terminates three.
   */
  @Nested
  class DeadlyAndInnocentRequests {
    private static final int SEEDS = 100;
    private static final long NEVER = -1;
    private static final long DURING_TERMINATIONS = 11_000;

    private Results simulate(Scenario scenario) {
      Results sum = new Results();
      for (long seed = 1; seed <= SEEDS; seed++) {
        sum.add(new QuarantineSimulation(seed, scenario).run());
      }
      assertWithMessage("deadly requests sent after the time limit, %s", scenario)
          .that(sum.deadlyRunsPastDeadline)
          .isEqualTo(0);
      return sum;
    }

    /**
     * Expects three terminations per request, and few more where copies were in flight at the
     * third.
     */
    private void assertThreeTerminationsEach(Results results, int deadly) {
      double each = (double) results.deadlyRuns / SEEDS / deadly;
      assertThat(each).isAtLeast(3.0);
      assertThat(each).isAtMost(3.1);
    }

    @Test
    void lossOfDomainQuarantinesNothing() {
      for (int sends = 1; sends <= 3; sends++) {
        Results results = simulate(new Scenario(true, false, 0, sends, DURING_TERMINATIONS));
        assertThat(results.innocentAttemptsLost).isAtLeast(SEEDS);
        assertThat(results.innocentsQuarantined).isEqualTo(0);
      }
    }

    /** At most one innocent request in 10,000 may be quarantined. */
    @Test
    void oneDeadlyRequest() {
      for (int sends = 1; sends <= 3; sends++) {
        for (long lostAt : new long[] {NEVER, DURING_TERMINATIONS}) {
          Results results = simulate(new Scenario(true, false, 1, sends, lostAt));
          assertThreeTerminationsEach(results, 1);
          assertThat(results.innocentsQuarantined * 10_000).isAtMost(results.innocents);
          assertThat(results.pollsQuarantined).isEqualTo(0);
        }
      }
    }

    /**
     * At most one innocent request in 200 may be quarantined, although nine runners terminate
     * within seconds.
     */
    @Test
    void threeDeadlyRequestsAtOnce() {
      for (int sends = 1; sends <= 3; sends++) {
        Results results = simulate(new Scenario(true, false, 3, sends, DURING_TERMINATIONS));
        assertThreeTerminationsEach(results, 3);
        assertThat(results.innocentsQuarantined * 200).isAtMost(results.innocents);
        assertThat(results.pollsQuarantined).isEqualTo(0);
      }
    }

    /**
     * The limit is one innocent request in 1,000 in the minutes after all hosts were down; the test
     * requires a tenth of it.
     */
    @Test
    void oneDeadlyRequestAfterLossOfHistory() {
      for (int sends = 1; sends <= 3; sends++) {
        Results results = simulate(new Scenario(true, true, 1, sends, NEVER));
        assertThat((double) results.deadlyRuns / SEEDS).isAtMost(2.1);
        assertThat(results.innocentsQuarantined * 10_000).isAtMost(results.innocents);
        assertThat(results.pollsQuarantined).isEqualTo(0);
      }
    }

    /** The control: without a quarantine, runners terminate one after the other. */
    @Test
    void runnersTerminateOneAfterTheOtherWithoutQuarantine() {
      Results results = new QuarantineSimulation(1, new Scenario(false, false, 1, 1, NEVER)).run();
      assertThat(results.deadlyRunsPastDeadline).isAtLeast(30);
    }
  }
}
