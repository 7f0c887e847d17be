/** Whether an HTTP response is complete, from its framing and the end of its connection. */
@NullMarked
package org.sequoiahub.core.response;

import org.jspecify.annotations.NullMarked;
