package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.sequoiahub.node.store.ConfigurationStatus;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Ends responses that have begun before they are complete. No other class of this package closes a
 * caller's connection, so that each such end is logged and counted with its cause.
 *
 * <p>Its methods must be called on the decision thread.
 */
final class EarlyEndings {

  private final Supplier<ConfigurationStatus> configuration;
  private final MetricRegistry metrics;
  private final EventLog log;

  /** Why a response is ended before it is complete. */
  enum Cause {
    /** The caller has closed its connection. */
    CALLER_DISCONNECTED,
    /** The deadline of the caller, of the route or of the shutdown of this host has passed. */
    DEADLINE,
    /** The access key was revoked before the request could be sent again. */
    KEY_REVOKED,
    /** The last attempt has ended for good and the request cannot be sent again. */
    ATTEMPTS_FAILED
  }

  /**
   * Creates the endings of a host.
   *
   * @param configuration returns the status of the configuration in force
   */
  EarlyEndings(Supplier<ConfigurationStatus> configuration, MetricRegistry metrics, EventLog log) {
    this.configuration = requireNonNull(configuration, "configuration must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /**
   * Closes the connection of a request's caller, which shows a response that has begun to be
   * incomplete.
   *
   * @param reason the reason, for a human reader
   */
  void end(Call call, Cause cause, String reason, long nowMillis) {
    if (call.exchange.isStarted()) {
      record(call, cause, reason, nowMillis);
    }
    call.exchange.abort(reason);
  }

  private void record(Call call, Cause cause, String reason, long nowMillis) {
    metrics.counter("responses.ended_early." + cause.name().toLowerCase(Locale.ROOT)).inc();
    ConfigurationStatus status = configuration.get();
    log.info(
        "response-ended-early",
        "request",
        call.id(),
        "cause",
        cause,
        "why",
        reason,
        "events",
        call.relay.wholeEvents(),
        "silent_ms",
        nowMillis - Math.max(call.arrivedMillis, call.relay.lastChunkMillis()),
        "sends",
        call.sends.count(),
        "runs",
        call.sends.possibleRuns(),
        "after_ms",
        nowMillis - call.arrivedMillis,
        "left_ms",
        call.deadlineMillis() - nowMillis,
        "configuration",
        status.version(),
        "in_force_ms",
        nowMillis - status.inForceSinceMillis());
  }
}
