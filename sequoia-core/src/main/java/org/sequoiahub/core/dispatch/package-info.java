/** The choice of a runner for each request, retries, and what a stopping host still accepts. */
@NullMarked
package org.sequoiahub.core.dispatch;

import org.jspecify.annotations.NullMarked;
