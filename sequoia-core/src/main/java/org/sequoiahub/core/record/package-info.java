/** Records that operators write: their schemas, their fields and the validation rules. */
@NullMarked
package org.sequoiahub.core.record;

import org.jspecify.annotations.NullMarked;
