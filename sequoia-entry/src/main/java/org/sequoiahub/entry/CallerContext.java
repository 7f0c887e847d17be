package org.sequoiahub.entry;

import io.opentelemetry.api.trace.Span;

/**
 * The context common to all requests of callers.
 *
 * @param requestId the id assigned to the request
 * @param timeoutMillis how long the caller waits, in milliseconds
 * @param span the trace span of the request in this process
 * @param reply receives the answer
 */
record CallerContext(String requestId, long timeoutMillis, Span span, Reply reply) {}
