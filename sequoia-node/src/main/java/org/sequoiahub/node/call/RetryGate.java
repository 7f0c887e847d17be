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

/** Asks the retry budget before requests are sent again, and tells operators what came of it. */
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

  /** Counts a request and returns its account. */
  RetryAccount openAccount(String service, long nowMillis) {
    budget.request(service, nowMillis);
    return new RetryAccount(budget, service);
  }

  /** Returns whether a request could be sent again now. */
  boolean mayRetry(Call call, long nowMillis) {
    return call.retryAccount.maySend(fleet.hostCount(nowMillis), nowMillis)
        || recordDenial(call, "decided", nowMillis);
  }

  /** Returns whether a stream could go on at another runner now; asked again and again. */
  boolean mayResume(Call call, long nowMillis) {
    return call.retryAccount.maySend(fleet.hostCount(nowMillis), nowMillis);
  }

  /** Takes what the next send of a request draws on the budget; false if it must not be made. */
  boolean chargeSend(Call call, long nowMillis) {
    return call.retryAccount.pay(fleet.hostCount(nowMillis), nowMillis) || recordDenial(call, "sent", nowMillis);
  }

  /** Takes a second send beside one that runs; false if it must not be made. */
  boolean chargeHedge(Call call, long nowMillis) {
    return budget.tryRetry(call.service, fleet.hostCount(nowMillis), nowMillis);
  }

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

  /** Tells the retries taken and left at this host; the sums over all hosts are the fleet's. */
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
