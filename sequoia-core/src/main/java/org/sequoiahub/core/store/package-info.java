/** Positions in the history of a store that may be restored from an older copy. */
@NullMarked
package org.sequoiahub.core.store;

import org.jspecify.annotations.NullMarked;
