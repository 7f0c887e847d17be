/** The runners that may be sent requests, and how each is doing. */
@NullMarked
package org.sequoiahub.core.upstream;

import org.jspecify.annotations.NullMarked;
