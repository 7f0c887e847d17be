package org.sequoiahub.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryAccountTest {

  private static final int REQUESTS_PER_SECOND = 100;
  private static final int REQUESTS_PER_FAILURE = 10;
  private static final long WAITING_MILLIS = 25_000;

  private final RetryBudgetSettings settings = new RetryBudgetSettings(0.2, 10, 10_000);
  private final SharedRetryBudget budget = new SharedRetryBudget(settings, 0, true);

  /** Guards against retries that are decided over a long time and then all sent at once. */
  @Test
  void waitingRetriesStayWithinTheBudgetOfOneWindow() {
    List<RetryAccount> waiting = new ArrayList<>();
    long step = 1_000 / REQUESTS_PER_SECOND;
    for (long now = 0, request = 0; now < WAITING_MILLIS; now += step, request++) {
      budget.recordRequest("s", now);
      RetryAccount account = new RetryAccount(budget, "s");
      assertThat(account.tryAcquireSend(1, now)).isTrue();
      account.recordRunnerReached();
      if (request % REQUESTS_PER_FAILURE == 0 && account.maySend(1, now)) {
        waiting.add(account);
      }
    }
    long sent =
        waiting.stream().filter(account -> account.tryAcquireSend(1, WAITING_MILLIS)).count();
    double allowed = settings.ratio() * REQUESTS_PER_SECOND * 10 + settings.allowance();
    assertThat((double) waiting.size()).isGreaterThan(allowed);
    assertThat((double) sent).isAtMost(allowed);
  }

  @Test
  void sendThatReachedNoRunnerConsumesNoRetry() {
    RetryAccount account = new RetryAccount(budget, "s");
    assertThat(account.tryAcquireSend(1, 0)).isTrue();
    assertThat(account.tryAcquireSend(1, 0)).isTrue();
    assertThat(budget.usage("s", 1, 0).taken()).isEqualTo(0);
  }

  @Test
  void retryIsConsumedOnceUntilItReachesRunner() {
    RetryAccount account = new RetryAccount(budget, "s");
    account.recordRunnerReached();
    assertThat(account.tryAcquireSend(1, 0)).isTrue();
    assertThat(account.tryAcquireSend(1, 0)).isTrue();
    assertThat(budget.usage("s", 1, 0).taken()).isEqualTo(1);
  }
}
