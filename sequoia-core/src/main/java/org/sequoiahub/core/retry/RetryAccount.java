package org.sequoiahub.core.retry;

import static java.util.Objects.requireNonNull;

/**
 * Decides for one request whether its next send consumes a retry of the budget.
 *
 * <p>A retry is acquired when the request is sent again, not when the retry is decided: the request
 * may wait for a runner in between, and many waiting requests may be sent at once.
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

  /** Records that a send reached a runner, so that the next one is a retry. */
  public void recordRunnerReached() {
    nextSendIsRetry = true;
  }

  /**
   * Returns whether {@link #tryAcquireSend} would succeed now.
   *
   * @param hosts how many hosts share the budget; see {@link SharedRetryBudget#tryAcquireRetry}
   */
  public boolean maySend(int hosts, long nowMillis) {
    return !nextSendIsRetry || budget.canRetry(service, hosts, nowMillis);
  }

  /**
   * Acquires what the next send consumes of the budget, if anything.
   *
   * @param hosts how many hosts share the budget; see {@link SharedRetryBudget#tryAcquireRetry}
   * @return false if the request must not be sent, as no retry is left
   */
  public boolean tryAcquireSend(int hosts, long nowMillis) {
    if (nextSendIsRetry && !budget.tryAcquireRetry(service, hosts, nowMillis)) {
      return false;
    }
    nextSendIsRetry = false;
    return true;
  }
}
