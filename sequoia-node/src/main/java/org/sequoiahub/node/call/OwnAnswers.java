package org.sequoiahub.node.call;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/** Answers that come from this host and not from a runner. */
final class OwnAnswers {

  private static final double MILLIS = 1_000;

  private final MetricRegistry metrics;
  private final EventLog log;

  OwnAnswers(MetricRegistry metrics, EventLog log) {
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns whether a status tells a caller that its request has not run and never will. */
  static boolean promisesNotRun(int status) {
    return status == HttpStatus.TOO_MANY_REQUESTS_429
        || status == HttpStatus.SERVICE_UNAVAILABLE_503
        || status == HttpStatus.REQUEST_TIMEOUT_408
        || status == HttpStatus.MISDIRECTED_REQUEST_421;
  }

  /**
   * Refuses a request that has not run and will not.
   *
   * @param retryMillis when the caller may come back
   */
  void refuse(CallerExchange exchange, CallerHeaders headers, String why, long retryMillis) {
    finish(exchange, headers, HttpStatus.SERVICE_UNAVAILABLE_503, why, retryMillis);
  }

  /**
   * Ends a request.
   *
   * @param why the reason, for people
   * @param retryMillis when the caller may come back; negative to say nothing
   */
  void finish(
      CallerExchange exchange, CallerHeaders headers, int status, String why, long retryMillis) {
    HttpFields.Mutable fields = HttpFields.build();
    if (!headers.requestId().isEmpty()) {
      fields.put(HeaderCodec.requestId(headers.requestId()));
    }
    if (retryMillis >= 0) {
      fields.put(HttpHeader.RETRY_AFTER, Double.toString(retryMillis / MILLIS));
    }
    metrics.counter("answers.own." + status).inc();
    log.info("own-answer", "request", headers.requestId(), "status", status, "why", why);
    exchange.answer(status, fields, why);
  }
}
