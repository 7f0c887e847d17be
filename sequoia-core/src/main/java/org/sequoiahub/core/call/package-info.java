/** The parts of a caller's request that decisions depend on; the body is only forwarded. */
@NullMarked
package org.sequoiahub.core.call;

import org.jspecify.annotations.NullMarked;
