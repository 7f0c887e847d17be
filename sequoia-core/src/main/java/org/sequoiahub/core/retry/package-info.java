/** Budgets that limit how many failed attempts may be retried. */
@NullMarked
package org.sequoiahub.core.retry;

import org.jspecify.annotations.NullMarked;
