package org.sequoiahub.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Symptom: runners end one after the other although no request ran on them.
 *
 * <p>Events: an adapter ends each runner that is ordered to load it; the requests that wait for it
 * move on to the next, whose holder is another host.
 *
 * <p>Cause: each holder decided about loads from what it had ordered itself.
 */
class LoadGuardTest {

  private static final String ADAPTER = "m/a1";

  private final List<RunnerTermination> told = new ArrayList<>();
  private final RequestQuarantine quarantine = new RequestQuarantine(QuarantineSettings.DEFAULT);
  private final LoadGuard guard =
      new LoadGuard(
          quarantine,
          new RunnerTerminationListener() {
            @Override
            public void onTermination(RunnerTermination end, long nowMillis) {
              told.add(end);
            }

            @Override
            public void onCleared(long request, long atMillis, long nowMillis) {}
          });

  /** Orders a load at a runner, which is known to have ended some time after. */
  private void orderAndEnd(long runner, long atMillis, long afterMillis) {
    guard.recordOrder(ADAPTER, 1, runner, atMillis);
    guard.detectTerminations(ended -> ended == runner, atMillis + afterMillis);
  }

  private void threeEnds() {
    orderAndEnd(1, 1_000, 500);
    orderAndEnd(2, 2_000, 500);
    orderAndEnd(3, 3_000, 500);
  }

  @Test
  void loadUnderWhichThreeRunnersEndedIsHeldBack() {
    assertThat(guard.mayLoad(ADAPTER, 1, 0)).isTrue();
    threeEnds();
    assertThat(guard.mayLoad(ADAPTER, 1, 3_501)).isFalse();
    assertThat(told).hasSize(3);
  }

  @Test
  void otherAdaptersAndNewerVersionsAreLoaded() {
    threeEnds();
    assertThat(guard.mayLoad("m/a2", 1, 3_501)).isTrue();
    assertThat(guard.mayLoad(ADAPTER, 2, 3_501)).isTrue();
  }

  @Test
  void endsThatComeLongAfterTheOrderDoNotCount() {
    for (int runner = 1; runner <= 3; runner++) {
      orderAndEnd(runner, 10_000L * runner, 8_500);
    }
    assertThat(guard.mayLoad(ADAPTER, 1, 40_000)).isTrue();
  }

  /** Requests that broke at the runner tell when it ended, long before its entry lapses. */
  @Test
  void theMomentIsTakenFromRequestsThatWereThere() {
    guard.recordOrder(ADAPTER, 1, 5, 1_000);
    quarantine.recordTermination(new RunnerTermination(99, 5, 4_000, 4_500, false, false), 4_500);
    guard.detectTerminations(runner -> true, 5_000);
    assertThat(told).isEmpty();
  }

  @Test
  void goodAnswerWithTheAdapterClearsIt() {
    threeEnds();
    guard.recordSuccess(ADAPTER, 1, 3_600);
    assertThat(guard.mayLoad(ADAPTER, 1, 3_601)).isTrue();
  }
}
