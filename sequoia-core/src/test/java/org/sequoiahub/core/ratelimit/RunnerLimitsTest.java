package org.sequoiahub.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;
import static org.sequoiahub.core.ratelimit.RunnerLimits.UNLIMITED;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunnerLimitsTest {

  private static final String RUNNER = "i-1";
  private static final StatedLimit NONE = new StatedLimit.None();

  private final List<Double> changes = new ArrayList<>();
  private final RunnerLimits limits = limits(1);

  private RunnerLimits limits(long source) {
    return new RunnerLimits(
        source, (runner, before, after, fromPeer, nowMillis) -> changes.add(after));
  }

  private static StatedLimit rate(double perSecond) {
    return new StatedLimit.Rate(perSecond);
  }

  private static LimitReport report(double perSecond, long source, long sequence, long ageMillis) {
    return new LimitReport(RUNNER, perSecond, source, sequence, ageMillis);
  }

  @Test
  void beginChangeAndEnd() {
    limits.observe(RUNNER, rate(1), 900, 1_000);
    limits.observe(RUNNER, rate(2.5), 1_100, 1_200);
    limits.observe(RUNNER, NONE, 1_300, 1_400);
    assertThat(changes).containsExactly(1.0, 2.5, UNLIMITED).inOrder();
    assertThat(limits.isAnyInForce()).isFalse();
  }

  @Test
  void holdForOneIncarnationOnly() {
    limits.observe(RUNNER, rate(1), 0, 10);
    assertThat(limits.isLimited("i-1/2000")).isFalse();
  }

  @Test
  void unreadableStatementKeepsTheLastLimit() {
    limits.observe(RUNNER, new StatedLimit.Unreadable("x"), 0, 5);
    assertThat(limits.isLimited(RUNNER)).isFalse();
    limits.observe(RUNNER, rate(1), 0, 10);
    limits.observe(RUNNER, new StatedLimit.Unreadable("x"), 20, 30);
    assertThat(limits.perSecond(RUNNER)).isEqualTo(1);
  }

  @Nested
  class Order {
    /** Guards against a limit that ends by a response whose head is older than the limit. */
    @Test
    void responseToAnEarlierRequestDoesNotEndTheLimit() {
      limits.observe(RUNNER, rate(1), 900, 1_000);
      limits.observe(RUNNER, NONE, 950, 1_050);
      assertThat(limits.isLimited(RUNNER)).isTrue();
    }

    @Test
    void newerReportOfAnotherHostCounts() {
      limits.observe(RUNNER, rate(1), 900, 1_000);
      limits.merge(report(5, 2, 1, 200), 1_100);
      assertThat(limits.perSecond(RUNNER)).isEqualTo(1);
      limits.merge(report(5, 2, 2, 50), 1_100);
      assertThat(limits.perSecond(RUNNER)).isEqualTo(5);
    }

    /** Guards against an old limit that is restored because its report took a longer way. */
    @Test
    void reportThatWasAppliedBeforeIsIgnored() {
      limits.merge(report(5, 2, 7, 0), 1_000);
      limits.merge(report(UNLIMITED, 3, 1, 0), 1_050);
      limits.merge(report(5, 2, 7, 0), 1_500);
      assertThat(limits.isLimited(RUNNER)).isFalse();
    }

    @Test
    void ownReportThatComesBackIsIgnored() {
      limits.observe(RUNNER, rate(1), 900, 1_000);
      limits.observe(RUNNER, NONE, 1_010, 1_020);
      limits.merge(report(1, 1, 1, 0), 1_400);
      assertThat(limits.isLimited(RUNNER)).isFalse();
    }
  }

  @Nested
  class Reports {
    @Test
    void tellOthersTheLimitAndItsEnd() {
      RunnerLimits other = limits(2);
      limits.observe(RUNNER, rate(1), 900, 1_000);
      limits.reports(1_040).forEach(report -> other.merge(report, 5_000));
      assertThat(other.perSecond(RUNNER)).isEqualTo(1);
      limits.observe(RUNNER, NONE, 1_100, 1_200);
      limits.reports(1_240).forEach(report -> other.merge(report, 5_200));
      assertThat(other.isLimited(RUNNER)).isFalse();
    }

    /** Guards against state that grows with forged runners. */
    @Test
    void beyondTheMaximumAreDropped() {
      for (int i = 0; i < RunnerLimits.MAX_RUNNERS + 10; i++) {
        limits.merge(new LimitReport("i-" + i, 1, 2, i, 0), 1_000);
      }
      assertThat(limits.reports(1_000)).hasSize(RunnerLimits.MAX_RUNNERS);
    }
  }

  @Nested
  class Removal {
    @Test
    void limitOfKnownRunnerStaysWithoutResponses() {
      limits.observe(RUNNER, rate(0.2), 0, 10);
      limits.removeStaleEntries(Set.of(RUNNER), 3_600_000);
      assertThat(limits.isLimited(RUNNER)).isTrue();
    }

    @Test
    void limitOfRunnerThatIsGoneIsRemoved() {
      limits.observe(RUNNER, rate(0.2), 0, 10);
      limits.removeStaleEntries(Set.of(), 20_000);
      assertThat(limits.isLimited(RUNNER)).isTrue();
      limits.removeStaleEntries(Set.of(), 40_000);
      assertThat(limits.isEmpty()).isTrue();
      assertThat(limits.isAnyInForce()).isFalse();
    }
  }
}
