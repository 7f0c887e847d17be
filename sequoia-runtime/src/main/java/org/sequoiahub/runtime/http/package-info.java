/** Framing and incremental writing of HTTP responses. */
@NullMarked
package org.sequoiahub.runtime.http;

import org.jspecify.annotations.NullMarked;
