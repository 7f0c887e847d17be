package org.sequoiahub.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against adapters that terminate every runner ordered to load them.
 *
 * <p>The requests that wait for such an adapter move to the next runner, whose holder is another
 * host. A holder that decides only by its own orders therefore orders the load again.
 */
class LoadGuardTest {

  private static final String ADAPTER = "m/a1";

  private final List<RunnerTermination> notified = new ArrayList<>();
  private final RequestQuarantine quarantine = new RequestQuarantine(QuarantineSettings.DEFAULT);
  private final LoadGuard guard =
      new LoadGuard(
          quarantine,
          new RunnerTerminationListener() {
            @Override
            public void onTermination(RunnerTermination termination, long nowMillis) {
              notified.add(termination);
            }

            @Override
            public void onCleared(long request, long atMillis, long nowMillis) {}
          });

  /** Orders a load on a runner whose termination is known {@code afterMillis} later. */
  private void orderAndTerminate(long runner, long atMillis, long afterMillis) {
    guard.recordOrder(ADAPTER, 1, runner, atMillis);
    guard.detectTerminations(terminated -> terminated == runner, atMillis + afterMillis);
  }

  private void terminateThreeRunners() {
    orderAndTerminate(1, 1_000, 500);
    orderAndTerminate(2, 2_000, 500);
    orderAndTerminate(3, 3_000, 500);
  }

  @Test
  void loadIsQuarantinedAfterThreeTerminations() {
    assertThat(guard.mayLoad(ADAPTER, 1, 0)).isTrue();
    terminateThreeRunners();
    assertThat(guard.mayLoad(ADAPTER, 1, 3_501)).isFalse();
    assertThat(notified).hasSize(3);
  }

  @Test
  void otherAdaptersAndNewerVersionsAreNotQuarantined() {
    terminateThreeRunners();
    assertThat(guard.mayLoad("m/a2", 1, 3_501)).isTrue();
    assertThat(guard.mayLoad(ADAPTER, 2, 3_501)).isTrue();
  }

  @Test
  void terminationsLongAfterTheOrderDoNotCount() {
    for (int runner = 1; runner <= 3; runner++) {
      orderAndTerminate(runner, 10_000L * runner, 8_500);
    }
    assertThat(guard.mayLoad(ADAPTER, 1, 40_000)).isTrue();
  }

  /**
   * Requests that failed on the runner reveal when it terminated, long before its entry expires.
   */
  @Test
  void terminationTimeIsTakenFromFailedRequests() {
    guard.recordOrder(ADAPTER, 1, 5, 1_000);
    quarantine.recordTermination(new RunnerTermination(99, 5, 4_000, 4_500, false, false), 4_500);
    guard.detectTerminations(runner -> true, 5_000);
    assertThat(notified).isEmpty();
  }

  @Test
  void successfulResponseWithTheAdapterClearsIt() {
    terminateThreeRunners();
    guard.recordSuccess(ADAPTER, 1, 3_600);
    assertThat(guard.mayLoad(ADAPTER, 1, 3_601)).isTrue();
  }
}
