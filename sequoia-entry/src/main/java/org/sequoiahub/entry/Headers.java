package org.sequoiahub.entry;

/** The HTTP headers that callers send and get beside the standard ones. */
final class Headers {

  /** Answer: {@code ran}, {@code not-run} or {@code may-have-run}. */
  static final String VERDICT = "Sequoia-Verdict";

  /** Answer: the exact adapter@version that the request was resolved to. */
  static final String ADAPTER = "Sequoia-Adapter";

  /** Answer: the runner or service upstream that answered. */
  static final String RUNNER = "Sequoia-Runner";

  /** Request and answer: the id of a non-idempotent operation. */
  static final String OPERATION_ID = "Sequoia-Operation";

  /** Request: how long the caller waits, in milliseconds. */
  static final String TIMEOUT_MILLIS = "Sequoia-Timeout-Ms";

  /** Answer: when to come back, in milliseconds; more exact than Retry-After. */
  static final String RETRY_AFTER_MILLIS = "Sequoia-Retry-After-Ms";

  /** Answer: the request's id, for support. */
  static final String REQUEST_ID = "X-Request-Id";

  /** Request: the W3C trace context. */
  static final String TRACEPARENT = "traceparent";

  private Headers() {}
}
