package org.sequoiahub.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {

  private static final double RATIO = 0.2;
  private static final double ALLOWANCE = 54;
  private static final long WINDOW = 10_000;
  private static final RetryBudgetSettings SETTINGS =
      new RetryBudgetSettings(RATIO, ALLOWANCE, WINDOW);

  /**
   * Guards against more arrivals at runners than the fleet's budget allows in some window.
   *
   * <p>Several hosts receive requests unevenly and every attempt fails, so each host retries as
   * often as it may, for longer than a window. The shares of the hosts must not add up to more than
   * the budget.
   */
  @Property(tries = 300, seed = "20261211")
  void sharesOfAllHostsStayWithinTheBudget(
      @ForAll @Size(min = 1, max = 9)
          List<@IntRange(min = 0, max = 40) Integer> requestsPerSecond) {
    int hosts = requestsPerSecond.size();
    List<SharedRetryBudget> budgets = new ArrayList<>();
    requestsPerSecond.forEach(r -> budgets.add(new SharedRetryBudget(SETTINGS, 0, true)));
    List<Long> retries = new ArrayList<>();
    List<Long> requests = new ArrayList<>();
    for (long now = 50_000; now < 85_000; now += 100) {
      for (int host = 0; host < hosts; host++) {
        for (int i = 0; i < requestsPerSecond.get(host) / 10; i++) {
          budgets.get(host).recordRequest("s", now);
          requests.add(now);
        }
        while (budgets.get(host).tryAcquireRetry("s", hosts, now)) {
          retries.add(now);
        }
      }
      long from = now - WINDOW;
      long retried = retries.stream().filter(at -> at > from).count();
      long requested = requests.stream().filter(at -> at > from).count();
      assertThat((double) retried).isAtMost(RATIO * requested + ALLOWANCE);
    }
  }

  @Nested
  class Use {
    @Test
    void idleServiceHasItsShareOfTheAllowance() {
      SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0, true);
      int taken = 0;
      while (budget.tryAcquireRetry("s", 9, 1_000)) {
        taken++;
      }
      assertThat(taken).isEqualTo((int) (0.65 * ALLOWANCE / 9));
    }

    @Test
    void servicesHaveSeparateBudgets() {
      SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0, true);
      while (budget.tryAcquireRetry("s", 1, 1_000)) {
        assertThat(budget.usage("s", 1, 1_000).taken()).isAtMost(54);
      }
      assertThat(budget.tryAcquireRetry("other", 1, 1_000)).isTrue();
    }

    @Test
    void retriesAreAvailableAgainAfterWindow() {
      SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0, true);
      while (budget.tryAcquireRetry("s", 1, 1_000)) {
        assertThat(budget.usage("s", 1, 1_000).taken()).isAtMost(54);
      }
      assertThat(budget.tryAcquireRetry("s", 1, 10_900)).isFalse();
      assertThat(budget.tryAcquireRetry("s", 1, 12_100)).isTrue();
    }
  }
}
