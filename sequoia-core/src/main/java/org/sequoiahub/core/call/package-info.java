/** What a caller asks for, apart from the bytes that are only passed on. */
@NullMarked
package org.sequoiahub.core.call;

import org.jspecify.annotations.NullMarked;
