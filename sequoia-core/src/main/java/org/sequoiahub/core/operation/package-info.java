/** Identifiers that let a non-idempotent call run at most once. */
@NullMarked
package org.sequoiahub.core.operation;

import org.jspecify.annotations.NullMarked;
