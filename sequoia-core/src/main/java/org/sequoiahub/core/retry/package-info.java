/** When a failed attempt may be repeated. */
@NullMarked
package org.sequoiahub.core.retry;

import org.jspecify.annotations.NullMarked;
