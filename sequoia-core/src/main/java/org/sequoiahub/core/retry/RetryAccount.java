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
  private boolean owes;

  /** Creates the account of a request to a service. */
  public RetryAccount(SharedRetryBudget budget, String service) {
    this.budget = requireNonNull(budget, "budget must not be null");
    this.service = requireNonNull(service, "service must not be null");
  }

  /** Records that a send reached a runner: the next one is a retry. */
  public void reachedRunner() {
    owes = true;
  }

  /** Returns whether the next send could be made now. */
  public boolean maySend(int hosts, long nowMillis) {
    return !owes || budget.hasRetry(service, hosts, nowMillis);
  }

  /** Takes what the next send draws on the budget; false if it must not be made. */
  public boolean pay(int hosts, long nowMillis) {
    if (owes && !budget.tryRetry(service, hosts, nowMillis)) {
      return false;
    }
    owes = false;
    return true;
  }
}
