/** Structured events: one line of key=value pairs each. */
@NullMarked
package org.sequoiahub.runtime.log;

import org.jspecify.annotations.NullMarked;
