/** Operation ids and the table that lets each non-idempotent call run at most once. */
@NullMarked
package org.sequoiahub.core.operation;

import org.jspecify.annotations.NullMarked;
