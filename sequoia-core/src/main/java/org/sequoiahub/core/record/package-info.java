/** The records that operators write: their schemas, their fields and what makes one acceptable. */
@NullMarked
package org.sequoiahub.core.record;

import org.jspecify.annotations.NullMarked;
