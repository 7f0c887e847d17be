package org.sequoiahub.entry;

import io.opentelemetry.api.trace.Span;

/**
 * What every request of a caller carries.
 *
 * @param requestId the id given to the request
 * @param timeoutMillis how long the caller waits
 * @param span the span of this hop
 * @param reply where the answer goes
 */
record CallerContext(String requestId, long timeoutMillis, Span span, Reply reply) {}
