package org.sequoiahub.node.call;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.ratelimit.StatedLimit;
import org.sequoiahub.core.response.SenderState;
import org.sequoiahub.core.runnerstate.RunnerSignals;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.SimulatedHosts;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HostSettings;

/** Guards against responses of terminated runners that count as complete. */
class EndVerificationTest {

  private static final RunnerEntry RUNNER =
      new RunnerEntry(
          RunnerIncarnation.of("i-1"),
          0,
          "s",
          SoftwareVersion.of("v1"),
          "10.0.9.1:80",
          "d",
          4,
          false,
          -1,
          0,
          Set.of(),
          Map.of());

  private final List<Consumer<SenderState>> probes = new ArrayList<>();
  private final List<SenderState> results = new ArrayList<>();
  private long now = 1_000_000;
  private final EventLog log = new EventLog("test", "host");
  private final RunnerStates runnerStates =
      new RunnerStates(
          settings(), now, now, key -> Optional.empty(), () -> {}, new MetricRegistry(), log);
  private final EndVerification verification =
      new EndVerification(
          (runner, timeoutMillis, listener) -> probes.add(listener),
          runnerStates,
          Runnable::run,
          () -> now,
          new MetricRegistry(),
          log);

  private static HostSettings settings() {
    return SimulatedHosts.settings("host", "z", "10.0.0.1", List.of("10.0.0.1"), true, 100);
  }

  private void endResponse() {
    verification.verify(RUNNER, now, results::add);
  }

  private void answer(int probe, SenderState state) {
    probes.get(probe).accept(state);
  }

  private void advance(long millis) {
    for (long end = now + millis; now < end; ) {
      now += 25;
      verification.tick(now);
    }
  }

  @Test
  void responseOfRunningRunnerIsVerified() {
    endResponse();
    answer(0, SenderState.RUNNING);
    assertThat(results).containsExactly(SenderState.RUNNING);
  }

  /** Guards against an answer that the runner gave before a later response was cut. */
  @Test
  void answerCountsOnlyForResponsesThatEndedBeforeTheQuestion() {
    endResponse();
    endResponse();
    assertThat(probes).hasSize(1);
    answer(0, SenderState.RUNNING);
    assertThat(results).containsExactly(SenderState.RUNNING);
    assertThat(probes).hasSize(2);
    answer(1, SenderState.TERMINATED);
    assertThat(results).containsExactly(SenderState.RUNNING, SenderState.TERMINATED).inOrder();
  }

  @Test
  void responsesThatWaitTogetherShareOneQuestion() {
    endResponse();
    for (int i = 0; i < 20; i++) {
      endResponse();
    }
    answer(0, SenderState.RUNNING);
    answer(1, SenderState.RUNNING);
    assertThat(probes).hasSize(2);
    assertThat(results).hasSize(21);
  }

  @Test
  void terminationEndsAllResponsesOfTheRunner() {
    endResponse();
    endResponse();
    answer(0, SenderState.TERMINATED);
    assertThat(results).containsExactly(SenderState.TERMINATED, SenderState.TERMINATED);
  }

  @Test
  void questionWithoutResultIsRepeated() {
    endResponse();
    answer(0, SenderState.UNKNOWN);
    assertThat(results).isEmpty();
    advance(50);
    assertThat(probes).hasSize(2);
    answer(1, SenderState.RUNNING);
    assertThat(results).containsExactly(SenderState.RUNNING);
  }

  @Test
  void runnerIsNotAskedDuringBackoff() {
    endResponse();
    RunnerSignals backoff =
        new RunnerSignals(
            false,
            500,
            new StatedLimit.None(),
            new StatedLimit.None(),
            Optional.empty(),
            List.of());
    runnerStates.replyReceived(RUNNER.id(), backoff, now);
    answer(0, SenderState.UNKNOWN);
    advance(475);
    assertThat(probes).hasSize(1);
    advance(50);
    assertThat(probes).hasSize(2);
  }

  @Test
  void leavingRunnerIsAsked() {
    RunnerSignals leaving =
        new RunnerSignals(
            true, 0, new StatedLimit.None(), new StatedLimit.None(), Optional.empty(), List.of());
    runnerStates.replyReceived(RUNNER.id(), leaving, now);
    endResponse();
    assertThat(probes).hasSize(1);
  }

  @Test
  void silentRunnerIsGivenUpAfterTheTimeLimit() {
    endResponse();
    advance(EndVerification.TIME_LIMIT_MILLIS - 25);
    assertThat(results).isEmpty();
    advance(25);
    assertThat(results).containsExactly(SenderState.UNKNOWN);
    answer(0, SenderState.RUNNING);
    assertThat(results).containsExactly(SenderState.UNKNOWN);
    advance(2_000);
    assertThat(probes).hasSize(1);
  }
}
