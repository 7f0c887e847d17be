/** One-time resolution of a caller's model name, and choice of a runner for the request. */
@NullMarked
package org.sequoiahub.core.route;

import org.jspecify.annotations.NullMarked;
