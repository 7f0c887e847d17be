package org.sequoiahub.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.scheduling.WaitPrediction.Outlook;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;

class WaitPredictionTest {

  static final int SLOTS = 48;

  private static final WaitPrediction PREDICTION = new WaitPrediction(35, 30, 12);

  /** Returns a candidate that has the adapter. */
  static Candidate candidate(String id, int inFlight, long unread, long queued, int tokens) {
    RunnerEntry runner =
        new RunnerEntry(
            RunnerIncarnation.of(id),
            0,
            "s",
            SoftwareVersion.of("v1"),
            "10.0.0.1:80",
            "d",
            SLOTS,
            false,
            -1,
            0,
            Set.of("m"),
            Map.of());
    return new Candidate(
        runner,
        inFlight,
        unread,
        queued,
        tokens,
        0,
        new SendDecision.Now(),
        false,
        0,
        true,
        true,
        true,
        0,
        0,
        false,
        true);
  }

  @Test
  void countsWhatIsAheadAtTheBestCandidate() {
    Candidate slow = candidate("a", 10, 3_500, 7_000, 700);
    Candidate fast = candidate("b", 10, 3_500, 3_500, 700);
    Outlook outlook = PREDICTION.predict(List.of(slow, fast), candidate -> 0);
    assertThat(outlook).isEqualTo(new Outlook(false, 200, 340));
  }

  @Test
  void leavesOutWhatTheRequestPrecedes() {
    Candidate candidate = candidate("a", 10, 3_500, 7_000, 700);
    assertThat(PREDICTION.predict(List.of(candidate), any -> 7_000).startMillis()).isEqualTo(100);
  }

  @Test
  void findsFreeSlotsOnlyWhereNothingWaits() {
    assertThat(isFree(candidate("a", SLOTS - 1, 99_000, 0, 700))).isTrue();
    assertThat(isFree(candidate("a", SLOTS, 0, 0, 700))).isFalse();
    assertThat(isFree(candidate("a", 1, 0, 1, 700))).isFalse();
  }

  @Test
  void predictsNoStartWithoutCandidates() {
    assertThat(PREDICTION.predict(List.of(), any -> 0).firstEventMillis()).isPositiveInfinity();
  }

  private static boolean isFree(Candidate candidate) {
    return PREDICTION.predict(List.of(candidate), any -> 0).free();
  }
}
