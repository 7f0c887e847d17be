package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.HashMap;
import java.util.Map;
import org.sequoiahub.core.retry.RetryAccount;
import org.sequoiahub.core.retry.SharedRetryBudget;
import org.sequoiahub.runtime.log.EventLog;

/** Checks the retry budget before requests are sent again, and logs and publishes its use. */
final class RetryGate {

  private final SharedRetryBudget budget;
  private final FleetView fleet;
  private final MetricRegistry metrics;
  private final EventLog log;
  private final Map<String, SettableGauge<Long>> gauges = new HashMap<>();

  RetryGate(SharedRetryBudget budget, FleetView fleet, MetricRegistry metrics, EventLog log) {
    this.budget = requireNonNull(budget, "budget must not be null");
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Counts a new request of a service and returns its retry account. */
  RetryAccount openAccount(String service, long nowMillis) {
    budget.recordRequest(service, nowMillis);
    return new RetryAccount(budget, service);
  }

  /**
   * Returns the retry account of a request that another host has counted and passed on.
   *
   * @param ranBefore whether an attempt of the other host may have run, so that the next send is a
   *     retry
   */
  RetryAccount openForwardedAccount(String service, boolean ranBefore) {
    RetryAccount account = new RetryAccount(budget, service);
    if (ranBefore) {
      account.recordRunnerReached();
    }
    return account;
  }

  /** Returns whether the budget allows a request to be sent again now; logs a denial. */
  boolean mayRetry(Call call, long nowMillis) {
    return call.retryAccount.maySend(fleet.hostCount(nowMillis), nowMillis)
        || recordDenial(call, "decided", nowMillis);
  }

  /**
   * Returns whether the budget allows a stream to be resumed at another runner now; a denial is not
   * logged, as this is polled.
   */
  boolean mayResume(Call call, long nowMillis) {
    return call.retryAccount.maySend(fleet.hostCount(nowMillis), nowMillis);
  }

  /** Charges the next send of a request to the budget; false if it must not be made. */
  boolean chargeSend(Call call, long nowMillis) {
    return call.retryAccount.tryAcquireSend(fleet.hostCount(nowMillis), nowMillis)
        || recordDenial(call, "sent", nowMillis);
  }

  /**
   * Charges a second send of a request whose first one is still active to the budget.
   *
   * @return false if the budget has no retry left and the send must not be made; this denial is
   *     neither logged nor counted
   */
  boolean chargeHedge(Call call, long nowMillis) {
    return budget.tryAcquireRetry(call.service, fleet.hostCount(nowMillis), nowMillis);
  }

  /** Logs and counts a denied retry; always returns false. */
  private boolean recordDenial(Call call, String when, long nowMillis) {
    int hosts = fleet.hostCount(nowMillis);
    SharedRetryBudget.Usage usage = budget.usage(call.service, hosts, nowMillis);
    metrics.counter("retries.denied").inc();
    log.info(
        "retry-denied",
        "request",
        call.id(),
        "service",
        call.service,
        "when",
        when,
        "taken",
        usage.taken(),
        "allowed",
        (long) usage.allowed(),
        "hosts",
        hosts);
    return false;
  }

  /**
   * Publishes the retries taken and left at this host; the fleet's values are the sums over all
   * hosts.
   */
  void publish(long nowMillis) {
    int hosts = fleet.hostCount(nowMillis);
    for (String service : budget.services()) {
      SharedRetryBudget.Usage usage = budget.usage(service, hosts, nowMillis);
      gauge(service, "taken").setValue(usage.taken());
      gauge(service, "left").setValue((long) usage.allowed() - usage.taken());
    }
  }

  private SettableGauge<Long> gauge(String service, String what) {
    return gauges.computeIfAbsent(
        "retries." + service + "." + what,
        name -> metrics.gauge(name, () -> new DefaultSettableGauge<>(0L)));
  }
}
