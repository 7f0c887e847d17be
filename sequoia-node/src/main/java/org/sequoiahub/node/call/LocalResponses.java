package org.sequoiahub.node.call;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahub.core.verdict.Verdict;
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

  /**
   * Ends a request that is not served: with 503 if it has certainly not run, else with a status
   * that promises nothing.
   *
   * @param mayHaveRunStatus the status if it may have run
   * @param reason the reason, for a human reader
   * @param notRunRetryMillis when the caller may retry if it has not run (ms from now); negative
   *     for no Retry-After
   * @param mayHaveRunRetryMillis the same if it may have run
   * @return the status
   */
  int endUnserved(
      Call call,
      int mayHaveRunStatus,
      String reason,
      long notRunRetryMillis,
      long mayHaveRunRetryMillis) {
    boolean notRun = call.sends.verdict() instanceof Verdict.NotRun;
    int status = notRun ? HttpStatus.SERVICE_UNAVAILABLE_503 : mayHaveRunStatus;
    end(call, status, reason, notRun ? notRunRetryMillis : mayHaveRunRetryMillis);
    return status;
  }

  /**
   * Ends a request with a status, as one that has not run if that is certain.
   *
   * @param status a status that guarantees that the request has not run only if that is certain
   * @param reason the reason, for a human reader
   * @param retryAfterMillis when the caller may retry (ms from now); negative for no Retry-After
   */
  void end(Call call, int status, String reason, long retryAfterMillis) {
    if (call.sends.verdict() instanceof Verdict.NotRun evidence) {
      reject(call.exchange, call.headers, evidence, status, reason, retryAfterMillis);
    } else {
      respond(call, status, reason, retryAfterMillis);
    }
  }

  /**
   * Rejects a request that has not run and will not.
   *
   * @param evidence what shows that it has not run
   * @param reason the reason, for a human reader
   * @param retryAfterMillis when the caller may retry (ms from now); negative for no Retry-After
   */
  void reject(
      CallerExchange exchange,
      CallerHeaders headers,
      Verdict.NotRun evidence,
      int status,
      String reason,
      long retryAfterMillis) {
    record(headers, status, reason, evidence.reason());
    exchange.reject(evidence, status, fields(headers, retryAfterMillis), reason);
  }

  /**
   * Responds to a request that may have run, which ends it.
   *
   * @param status a status that does not guarantee that the request has not run
   * @param reason the reason, for a human reader
   * @param retryAfterMillis when the caller may retry (ms from now); negative for no Retry-After
   */
  void respond(Call call, int status, String reason, long retryAfterMillis) {
    record(call.headers, status, reason, "may-have-run");
    call.exchange.respond(status, fields(call.headers, retryAfterMillis), reason);
  }

  private void record(CallerHeaders headers, int status, String reason, String evidence) {
    metrics.counter("answers.own." + status).inc();
    log.info(
        "own-answer",
        "request",
        headers.requestId(),
        "status",
        status,
        "why",
        reason,
        "evidence",
        evidence);
  }

  private static HttpFields fields(CallerHeaders headers, long retryAfterMillis) {
    HttpFields.Mutable fields = HttpFields.build();
    if (!headers.requestId().isEmpty()) {
      fields.put(HeaderCodec.requestId(headers.requestId()));
    }
    if (retryAfterMillis >= 0) {
      fields.put(HttpHeader.RETRY_AFTER, Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
    }
    return fields;
  }
}
