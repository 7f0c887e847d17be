/** Spans, one for each hop of a request. */
@NullMarked
package org.sequoiahub.runtime.trace;

import org.jspecify.annotations.NullMarked;
