package org.sequoiahub.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PermitIssuerTest {

  private static final String RUNNER = "i-1";

  private final RunnerLimits limits =
      new RunnerLimits(1, (runner, before, after, fromPeer, nowMillis) -> {});
  private final PermitIssuer issuer = new PermitIssuer();

  private void limit(double perSecond, long nowMillis) {
    limits.observe(RUNNER, new StatedLimit.Rate(perSecond), nowMillis - 1, nowMillis);
  }

  private void demand(String host, int priority, int permits, long nowMillis) {
    issuer.receiveDemands(
        host, Long.MAX_VALUE, List.of(new PermitDemand(RUNNER, priority, permits)), nowMillis);
  }

  /** Issues for a time and returns the permits by host. */
  private Map<String, Integer> issue(double share, long fromMillis, long toMillis) {
    Map<String, Integer> granted = new HashMap<>();
    for (long now = fromMillis; now < toMillis; now += 10) {
      issuer
          .issue(limits, share, now)
          .forEach(
              (host, reply) ->
                  reply
                      .grants()
                      .forEach(grant -> granted.merge(host, grant.permits(), Integer::sum)));
    }
    return granted;
  }

  @Test
  void issuesTheSharedPartOfTheLimit() {
    limit(20, 0);
    List<Integer> counts = new ArrayList<>();
    for (long now = 0; now < 10_000; now += 100) {
      demand("a", 0, 100, now);
      counts.add(issue(0.5, now, now + 100).getOrDefault("a", 0));
    }
    int sum = counts.stream().mapToInt(Integer::intValue).sum();
    assertThat(sum).isAtLeast(98);
    assertThat(sum).isAtMost(100);
  }

  @Test
  void urgentDemandsComeFirstAndEqualOnesInTurn() {
    limit(10, 0);
    demand("late", 16, 1, 0);
    demand("a", 1, 3, 0);
    demand("b", 1, 3, 0);
    Map<String, Integer> granted = issue(1, 0, 310);
    assertThat(granted.getOrDefault("late", 0)).isEqualTo(0);
    assertThat(granted.getOrDefault("a", 0)).isAtLeast(1);
    assertThat(granted.getOrDefault("b", 0)).isAtLeast(1);
  }

  @Test
  void demandThatIsNotRepeatedLapses() {
    limit(1, 0);
    demand("a", 0, 1, 0);
    assertThat(issue(1, 0, 2_000).getOrDefault("a", 0)).isEqualTo(0);
    assertThat(issuer.isIdle()).isTrue();
  }

  /** Guards against permits for the same call twice, because its demand crossed the grant. */
  @Test
  void grantUnderWayIsDeductedFromDemandsSentBefore() {
    limit(1_000, 0);
    issuer.receiveDemands("a", 0, List.of(new PermitDemand(RUNNER, 0, 2)), 0);
    assertThat(issue(1, 0, 50)).containsEntry("a", 2);
    issuer.receiveDemands("a", 0, List.of(new PermitDemand(RUNNER, 0, 2)), 60);
    assertThat(issue(1, 60, 100).getOrDefault("a", 0)).isEqualTo(0);
  }

  /** Guards against a limit of 0 that never ends because no response can say so. */
  @Test
  void runnerThatTakesNothingIsAskedNowAndThen() {
    limit(0, 0);
    int granted = 0;
    for (long now = 0; now < 30_000; now += 100) {
      demand("a", 0, 1, now);
      granted += issue(1, now, now + 100).getOrDefault("a", 0);
    }
    assertThat(granted).isAtLeast(2);
    assertThat(granted).isAtMost(3);
  }

  @Test
  void unusedPermitsAreIssuedAgain() {
    limit(0.2, 0);
    demand("a", 0, 1, 0);
    issue(1, 0, 10);
    demand("a", 0, 1, 5_100);
    assertThat(issue(1, 5_100, 5_110)).containsEntry("a", 1);
    issuer.takeBack(Map.of(RUNNER, 1));
    demand("b", 0, 1, 5_600);
    assertThat(issue(1, 5_600, 5_610)).containsEntry("b", 1);
  }
}
