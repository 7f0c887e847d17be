package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.List;
import org.sequoiahub.core.capacity.CapacityEstimator;
import org.sequoiahub.core.capacity.RunnerSpeed;
import org.sequoiahub.core.capacity.ServiceCapacity;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.runnerstate.StatedLoad;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Passes what this host observes of its attempts to the estimation of the runners' speeds, and
 * reports the estimates to operators.
 *
 * <p>Its methods must be called on the decision thread, except {@link #status}.
 */
public final class RunnerSpeeds {

  /** Interval at which the estimates are published to operators (ms). */
  private static final long PUBLISH_INTERVAL_MILLIS = 1_000;

  private static final String PREFIX = "runner_speeds.";

  private final CapacityEstimator estimator;
  private final MetricRegistry metrics;
  private long publishedMillis = Long.MIN_VALUE / 2;
  private volatile List<ServiceCapacity> published = List.of();

  /**
   * Creates an estimation without observations.
   *
   * @param host the name of this host
   */
  public RunnerSpeeds(String host, MetricRegistry metrics, EventLog log) {
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    requireNonNull(log, "log must not be null");
    this.estimator =
        new CapacityEstimator(
            host,
            (service, runner, nowMillis) ->
                log.info("runner-speeds-estimated", "service", service, "runner", runner));
  }

  /** Returns the speed of a runner. */
  RunnerSpeed speed(RunnerEntry runner, long nowMillis) {
    return estimator.speed(runner.id(), runner.service(), nowMillis);
  }

  /** Records what is ahead of an attempt at its runner; must precede counting the attempt there. */
  void recordSending(Call.ActiveAttempt active, FleetLoad load, long nowMillis) {
    String runner = active.runner.id();
    active.requestsAhead = load.requests(runner, nowMillis);
    active.tokensToRead = load.unreadTokens(runner, nowMillis) + active.unreadTokens;
  }

  /** Records that the first event of an attempt's stream was received. */
  void recordFirstEvent(Call.ActiveAttempt active, long nowMillis) {
    recordStated(active, nowMillis);
    metrics.counter(PREFIX + "first_events").inc();
    estimator.recordFirstEvent(
        active.runner.id(),
        active.runner.service(),
        active.tokensToRead,
        nowMillis - active.startedMillis,
        nowMillis);
  }

  /** Records that a plain call was answered successfully. */
  void recordResponse(Call.ActiveAttempt active, long nowMillis) {
    metrics.counter(PREFIX + "responses").inc();
    estimator.recordResponse(
        active.runner.id(),
        active.runner.service(),
        active.requestsAhead,
        active.runner.slots(),
        nowMillis - active.startedMillis,
        nowMillis);
  }

  /** Records the load that an attempt's response states, unless that has been done. */
  void recordStated(Call.ActiveAttempt active, long nowMillis) {
    StatedLoad load = active.statedLoad;
    if (load == null) {
      return;
    }
    active.statedLoad = null;
    metrics.counter(PREFIX + "stated").inc();
    estimator.recordStated(active.runner.id(), active.runner.service(), load, nowMillis);
    if (nowMillis - publishedMillis >= PUBLISH_INTERVAL_MILLIS) {
      publishedMillis = nowMillis;
      published = estimator.services(nowMillis);
      published.forEach(this::updateGauges);
    }
  }

  /** Returns the estimates for operators, at most a second old while responses are received. */
  public List<ServiceCapacity> status() {
    return published;
  }

  private void updateGauges(ServiceCapacity capacity) {
    gauge(capacity.service() + ".observed", capacity.observed());
    gauge(capacity.service() + ".pace", capacity.median().pace());
    gauge(capacity.service() + ".slowest_pace", capacity.slowestPace());
  }

  private void gauge(String name, double value) {
    SettableGauge<Double> gauge =
        metrics.gauge(PREFIX + name, () -> new DefaultSettableGauge<>(value));
    gauge.setValue(value);
  }
}
