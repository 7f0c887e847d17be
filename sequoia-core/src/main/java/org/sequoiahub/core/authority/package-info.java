/** Exclusive authority to start work on a runner and to evict adapters from it. */
@NullMarked
package org.sequoiahub.core.authority;

import org.jspecify.annotations.NullMarked;
