/** Settings from flags and environment variables, read and checked by their schema. */
@NullMarked
package org.sequoiahub.runtime.settings;

import org.jspecify.annotations.NullMarked;
