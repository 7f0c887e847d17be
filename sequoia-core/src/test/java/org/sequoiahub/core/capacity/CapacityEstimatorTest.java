package org.sequoiahub.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.runnerstate.StatedLoad;

class CapacityEstimatorTest {

  private static final String SERVICE = "llm";
  private static final long NOW = 50_000;

  private final List<String> begun = new ArrayList<>();
  private final CapacityEstimator estimator =
      new CapacityEstimator("host-1", (service, runner, now) -> begun.add(service));

  private void state(String runner, int pacePercent, long now) {
    estimator.recordStated(runner, SERVICE, new StatedLoad(1, 0, 48, pacePercent), now);
  }

  private void observe(String runner, double tokensPerMilli, int pacePercent, long now) {
    state(runner, pacePercent, now);
    long took = Math.round(10_000 / tokensPerMilli * pacePercent / 100);
    estimator.recordFirstEvent(runner, SERVICE, 10_000, took, now);
  }

  private RunnerSpeed speed(String runner, long now) {
    return estimator.speed(runner, SERVICE, now);
  }

  @Nested
  class InForce {
    /** Guards against changed decisions where runners state no pace. */
    @Test
    void isNotWithoutStatedPace() {
      state("r1", 0, NOW);
      estimator.recordFirstEvent("r1", SERVICE, 10_000, 1_000, NOW);
      estimator.recordResponse("r1", SERVICE, 0, 6, 500, NOW);
      assertThat(speed("r1", NOW)).isSameInstanceAs(RunnerSpeed.DEFAULT);
      assertThat(begun).isEmpty();
    }

    @Test
    void isFromTheFirstStatedPaceOnForThisServiceOnly() {
      state("r1", 100, NOW);
      state("r2", 100, NOW);
      assertThat(speed("r1", NOW).isEstimated()).isTrue();
      assertThat(estimator.speed("p1", "plain", NOW)).isSameInstanceAs(RunnerSpeed.DEFAULT);
      assertThat(begun).containsExactly(SERVICE);
    }
  }

  @Nested
  class ReadingSpeed {
    /** Guards against a busy runner that seems slow because others' prompts were read first. */
    @Test
    void takesTheTokensAheadIntoAccount() {
      state("r1", 100, NOW);
      estimator.recordFirstEvent("r1", SERVICE, 4_000 + 36_000, 1_000, NOW);
      assertThat(speed("r1", NOW).prefillTokensPerMilli()).isWithin(1).of(40);
    }

    /** Guards against a slowdown that counts twice, in the pace and in the reading speed. */
    @Test
    void isThatOfTheUsualPace() {
      observe("r1", 40, 350, NOW);
      observe("r2", 40, 100, NOW);
      observe("r3", 40, 100, NOW);
      assertThat(speed("r1", NOW).prefillTokensPerMilli()).isWithin(1).of(40);
      assertThat(speed("r1", NOW).currentTokensPerMilli()).isWithin(1).of(40 / 3.5);
    }

    /** Guards against estimates from short prompts, whose first event is delayed by other work. */
    @Test
    void ignoresShortPrompts() {
      observe("r1", 40, 100, NOW);
      estimator.recordFirstEvent("r1", SERVICE, 10, 400, NOW);
      assertThat(speed("r1", NOW).prefillTokensPerMilli()).isWithin(1).of(40);
    }

    @Test
    void differsBetweenRunners() {
      observe("r1", 20, 100, NOW);
      observe("r2", 38, 100, NOW);
      observe("r3", 50, 100, NOW);
      assertThat(speed("r1", NOW).prefillTokensPerMilli()).isWithin(1.5).of(20);
      assertThat(speed("r3", NOW).prefillTokensPerMilli()).isWithin(1.5).of(50);
    }
  }

  @Nested
  class ServiceTime {
    /** Guards against a full runner that seems slow because calls wait there. */
    @Test
    void excludesWaitingAndFullness() {
      state("r1", 100, NOW);
      estimator.recordResponse("r1", SERVICE, 12, 6, Math.round(50 * (1 + 7 / 6.0 + 0.3)), NOW);
      assertThat(speed("r1", NOW).serviceMillis()).isWithin(1.5).of(50);
    }
  }

  @Nested
  class Median {
    @Test
    void isTheStartOfNewRunners() {
      observe("r1", 20, 100, NOW);
      observe("r2", 25, 100, NOW);
      observe("r3", 30, 100, NOW);
      assertThat(speed("new", NOW).prefillTokensPerMilli()).isWithin(1).of(25);
    }

    /** Guards against a runner that is avoided forever because it was slow once. */
    @Test
    void isWhatOutdatedEstimatesDecayTo() {
      observe("r1", 10, 400, NOW);
      double before = speed("r1", NOW).pace();
      for (long now = NOW; now <= NOW + 120_000; now += 1_000) {
        observe("r2", 40, 100, now);
        observe("r3", 40, 100, now);
      }
      assertThat(before).isGreaterThan(3);
      assertThat(speed("r1", NOW + 6_000).pace()).isLessThan(before);
      assertThat(speed("r1", NOW + 120_000).pace()).isWithin(0.01).of(1);
      assertThat(speed("r1", NOW + 120_000).prefillTokensPerMilli()).isGreaterThan(28);
    }

    @Test
    void limitsEstimatesToFactorFour() {
      observe("r1", 1, 10_000, NOW);
      observe("r2", 40, 100, NOW);
      observe("r3", 40, 100, NOW);
      assertThat(speed("r1", NOW).prefillTokensPerMilli()).isAtLeast(9.99);
      assertThat(speed("r1", NOW).pace()).isAtMost(4.01);
    }
  }

  @Test
  void summarizesServicesForOperators() {
    observe("r1", 40, 300, NOW);
    observe("r2", 40, 100, NOW);
    observe("r3", 40, 100, NOW);
    ServiceCapacity capacity = estimator.services(NOW).get(0);
    assertThat(capacity.service()).isEqualTo(SERVICE);
    assertThat(capacity.observed()).isEqualTo(3);
    assertThat(capacity.median().pace()).isWithin(0.01).of(1);
    assertThat(capacity.slowestPace()).isWithin(0.2).of(3);
  }

  @Nested
  class Reports {
    @Test
    void passObservationsOn() {
      CapacityEstimator other = new CapacityEstimator("host-2", (service, runner, now) -> {});
      for (String runner : List.of("r1", "r2", "r3")) {
        other.recordStated(runner, SERVICE, new StatedLoad(1, 0, 48, 100), NOW);
        state(runner, 100, NOW);
      }
      other.recordFirstEvent("r1", SERVICE, 10_000, 500, NOW);
      estimator.merge(other.reports(NOW), NOW);
      assertThat(speed("r1", NOW).prefillTokensPerMilli()).isWithin(1).of(20);
    }

    /** Guards against memory that another host can fill with runners that do not exist. */
    @Test
    void ofUnknownRunnersAreIgnored() {
      estimator.merge(List.of(new CapacityReport("x", "host-2", CapacityQuantity.PACE, 2, 0)), NOW);
      assertThat(estimator.reports(NOW)).isEmpty();
      assertThat(estimator.services(NOW)).isEmpty();
    }
  }
}
