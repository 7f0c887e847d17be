package org.sequoiahub.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;
import org.sequoiahub.core.runnerstate.StatedLoad;

/** Properties of estimates when runners, hosts and links misbehave. */
class CapacityEstimatorPropertiesTest {

  private static final String SERVICE = "llm";
  private static final long NOW = 100_000;
  private static final double USUAL = 40;

  private CapacityEstimator estimator = newEstimator();

  private static CapacityEstimator newEstimator() {
    return new CapacityEstimator("host-1", (service, runner, now) -> {});
  }

  /** Creates an estimator without the observations of earlier tries. */
  @BeforeTry
  void createEstimator() {
    estimator = newEstimator();
  }

  private void observe(String runner, double tokensPerMilli, int pacePercent, long now) {
    estimator.recordStated(runner, SERVICE, new StatedLoad(1, 0, 48, pacePercent), now);
    estimator.recordFirstEvent(
        runner, SERVICE, 10_000, Math.max(1, Math.round(10_000 / tokensPerMilli)), now);
  }

  private void observeUsualRunners(long now) {
    for (int i = 0; i < 5; i++) {
      observe("usual-" + i, USUAL, 100, now);
    }
  }

  private RunnerSpeed speed(String runner, long now) {
    return estimator.speed(runner, SERVICE, now);
  }

  /** Guards against a runner that attracts or avoids requests by stating a false pace. */
  @Property(tries = 300)
  void constantFalsePaceDoesNotChangeTheCurrentSpeed(@ForAll @IntRange(min = 30, max = 350) int p) {
    observeUsualRunners(NOW);
    observe("liar", USUAL, p, NOW);
    assertThat(speed("liar", NOW).currentTokensPerMilli()).isWithin(USUAL * 0.11).of(USUAL);
  }

  /** Guards against more than the bounded influence of any sequence of statements and times. */
  @Property(tries = 300)
  void estimatesStayWithinFactorFourOfTheMedian(
      @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 999_999) Integer> paces,
      @ForAll @LongRange(min = 0, max = 10_000_000) long took) {
    observeUsualRunners(NOW);
    long now = NOW;
    for (int pace : paces) {
      estimator.recordStated("liar", SERVICE, new StatedLoad(0, 0, 0, pace), now);
      estimator.recordFirstEvent("liar", SERVICE, 10_000, took, now++);
    }
    RunnerSpeed speed = speed("liar", now);
    double factor = CapacityEstimator.CLAMP_FACTOR * 1.001;
    RunnerSpeed median = speed("new", now);
    assertThat(speed.pace()).isAtMost(median.pace() * factor);
    assertThat(speed.pace()).isAtLeast(median.pace() / factor);
    assertThat(speed.prefillTokensPerMilli()).isAtMost(median.prefillTokensPerMilli() * factor);
    assertThat(speed.prefillTokensPerMilli()).isAtLeast(median.prefillTokensPerMilli() / factor);
  }

  /** Guards against a host that overrides the own observations of others by false reports. */
  @Property(tries = 300)
  void falseReportsOfOneHostChangeAnObservedSpeedByLessThanHalf(
      @ForAll @DoubleRange(min = 0.01, max = 1e9) double value,
      @ForAll @LongRange(min = -5_000, max = 5_000) long age) {
    observeUsualRunners(NOW);
    for (int i = 0; i < 10; i++) {
      estimator.merge(
          List.of(
              new CapacityReport(
                  "usual-0", "host-2", CapacityQuantity.PREFILL_TOKENS_PER_MILLI, value, age)),
          NOW);
    }
    double estimate = speed("usual-0", NOW).prefillTokensPerMilli();
    assertThat(estimate).isAtMost(USUAL * 1.5);
    assertThat(estimate).isAtLeast(USUAL / 1.5);
  }

  /** Guards against estimates outside what was observed, whichever messages are lost or late. */
  @Property(tries = 300)
  void lostAndLateReportsGiveEstimatesBetweenMedianAndObservation(
      @ForAll @Size(max = 20) List<@LongRange(min = 0, max = 60_000) Long> ages) {
    observeUsualRunners(NOW);
    estimator.recordStated("r", SERVICE, new StatedLoad(0, 0, 48, 100), NOW);
    for (long age : ages) {
      estimator.merge(
          List.of(
              new CapacityReport(
                  "r", "host-2", CapacityQuantity.PREFILL_TOKENS_PER_MILLI, USUAL / 2, age)),
          NOW);
    }
    double estimate = speed("r", NOW).prefillTokensPerMilli();
    assertThat(estimate).isAtMost(USUAL * 1.001);
    assertThat(estimate).isAtLeast(USUAL / 2 * 0.999);
  }

  /** Guards against a restarted runner that keeps the estimate of its earlier incarnation. */
  @Property(tries = 100)
  void restartedRunnersStartFromTheMedian(@ForAll @IntRange(min = 10, max = 1_000) int pace) {
    observeUsualRunners(NOW);
    observe("r/1", USUAL * 100 / pace, pace, NOW);
    RunnerSpeed restarted = speed("r/2", NOW);
    assertThat(restarted.pace()).isWithin(0.001).of(1);
    assertThat(restarted.prefillTokensPerMilli()).isWithin(0.1).of(USUAL);
  }

  /** Guards against estimates of a frozen host that still count when it resumes. */
  @Property(tries = 100)
  void resumedHostsStartFromTheMedian(@ForAll @LongRange(min = 60_000, max = 600_000) long pause) {
    observeUsualRunners(NOW);
    observe("slow", USUAL, 350, NOW);
    observeUsualRunners(NOW + pause);
    assertThat(speed("slow", NOW + pause).pace()).isWithin(0.01).of(1);
  }
}
