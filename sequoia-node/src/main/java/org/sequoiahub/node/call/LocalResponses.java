package org.sequoiahub.node.call;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/** Sends the responses that this host generates itself, rather than a runner. */
final class LocalResponses {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final MetricRegistry metrics;
  private final EventLog log;

  LocalResponses(MetricRegistry metrics, EventLog log) {
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns whether a status guarantees the caller that its request has not run and will not. */
  static boolean guaranteesNotRun(int status) {
    return status == HttpStatus.TOO_MANY_REQUESTS_429
        || status == HttpStatus.SERVICE_UNAVAILABLE_503
        || status == HttpStatus.REQUEST_TIMEOUT_408
        || status == HttpStatus.MISDIRECTED_REQUEST_421;
  }

  /**
   * Rejects a request that has not run and will not.
   *
   * @param reason the reason, for a human reader
   * @param retryAfterMillis when the caller may retry (ms from now)
   */
  void reject(
      CallerExchange exchange, CallerHeaders headers, String reason, long retryAfterMillis) {
    respond(exchange, headers, HttpStatus.SERVICE_UNAVAILABLE_503, reason, retryAfterMillis);
  }

  /**
   * Responds to a request, which ends it.
   *
   * @param reason the reason, for a human reader
   * @param retryAfterMillis when the caller may retry (ms from now); negative for no Retry-After
   */
  void respond(
      CallerExchange exchange,
      CallerHeaders headers,
      int status,
      String reason,
      long retryAfterMillis) {
    HttpFields.Mutable fields = HttpFields.build();
    if (!headers.requestId().isEmpty()) {
      fields.put(HeaderCodec.requestId(headers.requestId()));
    }
    if (retryAfterMillis >= 0) {
      fields.put(HttpHeader.RETRY_AFTER, Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
    }
    metrics.counter("answers.own." + status).inc();
    log.info("own-answer", "request", headers.requestId(), "status", status, "why", reason);
    exchange.respond(status, fields, reason);
  }
}
