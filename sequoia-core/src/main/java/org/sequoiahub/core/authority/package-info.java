/** The right to start work on, and to evict from, one runner. */
@NullMarked
package org.sequoiahub.core.authority;

import org.jspecify.annotations.NullMarked;
