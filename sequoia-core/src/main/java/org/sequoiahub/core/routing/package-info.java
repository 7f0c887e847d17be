/** Which service a caller's request belongs to, as the operator's configuration says. */
@NullMarked
package org.sequoiahub.core.routing;

import org.jspecify.annotations.NullMarked;
