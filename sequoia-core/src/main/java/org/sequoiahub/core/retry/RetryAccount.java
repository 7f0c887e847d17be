package org.sequoiahub.core.retry;

import static java.util.Objects.requireNonNull;

/**
 * Whether the next send of one request draws on the retry budget.
 *
 * <p>The budget is taken when a request is sent again, not when that is decided: it may wait for a
 * runner in between, and many that waited may be sent at once.
 */
public final class RetryAccount {

  private final SharedRetryBudget budget;
  private final String service;
  private boolean nextSendIsRetry;

  /** Creates the account of a request to a service. */
  public RetryAccount(SharedRetryBudget budget, String service) {
    this.budget = requireNonNull(budget, "budget must not be null");
    this.service = requireNonNull(service, "service must not be null");
  }

  /** Records that a send reached a runner: the next one is a retry. */
  public void recordRunnerReached() {
    nextSendIsRetry = true;
  }

  /** Returns whether the next send could be made now. */
  public boolean maySend(int hosts, long nowMillis) {
    return !nextSendIsRetry || budget.canRetry(service, hosts, nowMillis);
  }

  /** Takes what the next send draws on the budget; false if it must not be made. */
  public boolean tryAcquireSend(int hosts, long nowMillis) {
    if (nextSendIsRetry && !budget.tryAcquireRetry(service, hosts, nowMillis)) {
      return false;
    }
    nextSendIsRetry = false;
    return true;
  }
}
