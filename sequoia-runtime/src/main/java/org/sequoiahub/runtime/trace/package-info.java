/** Distributed tracing with one span per hop of a request. */
@NullMarked
package org.sequoiahub.runtime.trace;

import org.jspecify.annotations.NullMarked;
