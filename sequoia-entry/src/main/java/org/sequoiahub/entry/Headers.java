package org.sequoiahub.entry;

/** The names of the HTTP headers exchanged with callers in addition to the standard ones. */
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

  /** Answer: the delay before a retry, in milliseconds; more precise than Retry-After. */
  static final String RETRY_AFTER_MILLIS = "Sequoia-Retry-After-Ms";

  /** Answer: the request's id, to be quoted in support requests. */
  static final String REQUEST_ID = "X-Request-Id";

  /** Request: the W3C trace context. */
  static final String TRACEPARENT = "traceparent";

  private Headers() {}
}
