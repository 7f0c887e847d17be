/** The runners that requests may be sent to, and which of them are known to have terminated. */
@NullMarked
package org.sequoiahub.core.upstream;

import org.jspecify.annotations.NullMarked;
