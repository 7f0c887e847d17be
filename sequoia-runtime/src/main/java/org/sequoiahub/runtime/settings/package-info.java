/** Settings from flags and environment variables, parsed and validated by their schema. */
@NullMarked
package org.sequoiahub.runtime.settings;

import org.jspecify.annotations.NullMarked;
