package org.sequoiahub.node.runnerstate;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.ratelimit.StatedLimit;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.runnerstate.RunnerSignals;
import org.sequoiahub.node.SimulatedHosts;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.metrics.MetricsText;
import org.sequoiahub.usersplatform.HostSettings;

class RunnerStatesTest {

  private static final String RUNNER = "i-1";
  private static final Set<String> KNOWN = Set.of(RUNNER);
  private static final RunnerSignals NONE = RunnerSignals.NONE;

  private final MetricRegistry metrics = new MetricRegistry();
  private final RunnerStates runnerStates =
      new RunnerStates(
          settings(),
          7,
          0,
          key -> Optional.empty(),
          () -> {},
          metrics,
          new EventLog("test", "host-1"));

  private static RunnerSignals limit(StatedLimit limit) {
    return new RunnerSignals(false, 0, limit, List.of());
  }

  private static HostSettings settings() {
    return SimulatedHosts.settings("host-1", "z", "ip-1", List.of("ip-1"), true, 100);
  }

  @Test
  void statementsAreRelevantOnceOneLimitIsKnown() {
    assertThat(runnerStates.isRelevant(NONE)).isFalse();
    assertThat(runnerStates.isRelevant(limit(new StatedLimit.Rate(1)))).isTrue();
    runnerStates.responseReceived(RUNNER, limit(new StatedLimit.Rate(1)), 900, 1_000);
    assertThat(runnerStates.isRelevant(NONE)).isTrue();
  }

  @Test
  void limitInForceIsPublishedUntilItEnds() {
    runnerStates.responseReceived(RUNNER, limit(new StatedLimit.Rate(2.5)), 900, 1_000);
    runnerStates.recordSent(RUNNER, CallKind.REQUEST, 1_100);
    runnerStates.recordSent(RUNNER, CallKind.ORDER, 1_200);
    runnerStates.runMaintenance(KNOWN, 1_300);
    assertThat(runnerStates.status())
        .containsExactly(new LimitStatus(RUNNER, 2.5, 300, false, 2, ""));
    String text = MetricsText.render(metrics);
    assertThat(text).contains("runner_limits.i-1.per_second 2.50\n");
    assertThat(text).contains("runner_limits.i-1.sent_4s 2\n");
    runnerStates.responseReceived(RUNNER, NONE, 1_400, 1_500);
    runnerStates.runMaintenance(KNOWN, 1_600);
    assertThat(runnerStates.status()).isEmpty();
    assertThat(metrics.getGauges()).isEmpty();
  }

  /** Guards against a limit that ends because an order's reply does not state it. */
  @Test
  void replyWithoutStatementEndsNoLimit() {
    runnerStates.responseReceived(RUNNER, limit(new StatedLimit.Rate(1)), 900, 1_000);
    runnerStates.replyReceived(RUNNER, NONE, 2_000);
    assertThat(runnerStates.limits().isLimited(RUNNER)).isTrue();
  }

  @Test
  void unreadableStatementIsCountedAndKeepsTheLimit() {
    runnerStates.responseReceived(RUNNER, limit(new StatedLimit.Rate(1)), 900, 1_000);
    runnerStates.responseReceived(
        RUNNER, limit(new StatedLimit.Unreadable("no number")), 1_100, 1_200);
    assertThat(runnerStates.limits().perSecond(RUNNER)).isEqualTo(1);
    assertThat(metrics.counter("runner_limits.unreadable").getCount()).isEqualTo(1);
  }

  @Test
  void callsToRunnersWithoutLimitAreNotCounted() {
    runnerStates.recordSent(RUNNER, CallKind.REQUEST, 1_000);
    assertThat(metrics.getCounters()).isEmpty();
    assertThat(runnerStates.tryAcquire(RUNNER, this, 0, 1_000)).isTrue();
  }
}
