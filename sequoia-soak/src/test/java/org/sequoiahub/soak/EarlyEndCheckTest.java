package org.sequoiahub.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.soak.EarlyEndCheck.Run;
import org.sequoiahub.usersplatform.standin.StandinRunner.Suspension;

class EarlyEndCheckTest {

  private static final long SENT_MILLIS = 1_000;

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static RequestResult result(int status, long afterMillis) {
    return new RequestResult(
        "q1",
        RequestResult.Kind.STREAM,
        status,
        null,
        "closed",
        "host-0",
        Callers.DEADLINE_MILLIS,
        nanos(SENT_MILLIS),
        nanos(SENT_MILLIS + afterMillis));
  }

  private static boolean isFound(RequestResult result, List<Run> runs, boolean hostInterrupted) {
    return EarlyEndCheck.violation(result, runs, hostInterrupted).isPresent();
  }

  private static Run run(String runner, long endAfterMillis, int pieces, boolean interrupted) {
    return new Run(runner, nanos(SENT_MILLIS + endAfterMillis), pieces, interrupted);
  }

  /** The host broke the response off, or failed the request, before its deadline. */
  @Nested
  class EndedByHost {

    @Test
    void isFoundIfItsRunnerWouldHaveEndedInTime() {
      assertThat(isFound(result(0, 2_200), List.of(run("i-1", 3_100, 2, false)), false)).isTrue();
    }

    @Test
    void isFoundWhateverItsStatus() {
      assertThat(isFound(result(502, 2_200), List.of(run("i-1", 3_100, 0, false)), false)).isTrue();
    }

    @Test
    void isFoundIfOnlyTheSecondRunnerWasInterrupted() {
      List<Run> runs = List.of(run("i-1", 3_100, 2, false), run("i-2", 3_100, 0, true));
      assertThat(isFound(result(0, 2_200), runs, false)).isTrue();
    }

    @Test
    void isAllowedIfTheRunnerThatTookOverWasInterrupted() {
      List<Run> runs = List.of(run("i-1", 3_100, 2, false), run("i-2", 3_100, 1, true));
      assertThat(isFound(result(0, 2_200), runs, false)).isFalse();
    }

    @Test
    void isAllowedIfItsRunnerWouldHaveEndedTooLate() {
      assertThat(isFound(result(0, 2_200), List.of(run("i-1", 3_900, 2, false)), false)).isFalse();
    }

    @Test
    void isAllowedIfTheHostWasInterrupted() {
      assertThat(isFound(result(0, 2_200), List.of(run("i-1", 3_100, 2, false)), true)).isFalse();
    }

    @Test
    void isAllowedIfNoRunnerRanIt() {
      assertThat(isFound(result(503, 2_200), List.of(), false)).isFalse();
    }
  }

  @Test
  void responseThatEndsAtItsDeadlineIsAllowed() {
    assertThat(isFound(result(0, 3_990), List.of(run("i-1", 3_100, 2, false)), false)).isFalse();
  }

  /** When a run ends that starts at 1 s and takes 300 ms without a suspension. */
  @Nested
  class EndOfRun {

    private static long endMillis(Suspension... suspensions) {
      return TimeUnit.NANOSECONDS.toMillis(
          EarlyEndCheck.endNanos(nanos(1_000), nanos(300), List.of(suspensions)));
    }

    private static Suspension suspension(long fromMillis, long untilMillis) {
      return new Suspension(nanos(fromMillis), nanos(untilMillis));
    }

    @Test
    void isNotDelayedBySuspensionsBeforeAndAfter() {
      assertThat(endMillis(suspension(100, 900), suspension(1_400, 2_000))).isEqualTo(1_300);
    }

    @Test
    void isDelayedBySuspensionsMeanwhile() {
      assertThat(endMillis(suspension(1_100, 2_000), suspension(2_150, 2_250))).isEqualTo(2_300);
    }

    @Test
    void isDelayedByTheRestOfOneSuspension() {
      assertThat(endMillis(suspension(500, 1_200))).isEqualTo(1_500);
    }
  }
}
