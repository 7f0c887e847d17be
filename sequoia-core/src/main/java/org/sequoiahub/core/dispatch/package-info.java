/** Which runner gets a request, when a request is refused, and what follows a failed attempt. */
@NullMarked
package org.sequoiahub.core.dispatch;

import org.jspecify.annotations.NullMarked;
