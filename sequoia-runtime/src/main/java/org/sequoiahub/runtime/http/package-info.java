/** Writing HTTP answers piece by piece. */
@NullMarked
package org.sequoiahub.runtime.http;

import org.jspecify.annotations.NullMarked;
