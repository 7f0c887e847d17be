/** The adapters and base models that each runner holds, and the orders that change them. */
@NullMarked
package org.sequoiahub.core.holding;

import org.jspecify.annotations.NullMarked;
