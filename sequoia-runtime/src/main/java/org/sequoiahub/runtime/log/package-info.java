/** Logging of structured events as lines of key=value pairs. */
@NullMarked
package org.sequoiahub.runtime.log;

import org.jspecify.annotations.NullMarked;
