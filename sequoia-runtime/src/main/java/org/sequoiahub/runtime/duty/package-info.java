/** Single-threaded event loops (duties) fed through bounded rings. */
@NullMarked
package org.sequoiahub.runtime.duty;

import org.jspecify.annotations.NullMarked;
