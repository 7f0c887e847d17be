/** What one runner holds, and which order changes it next. */
@NullMarked
package org.sequoiahub.core.holding;

import org.jspecify.annotations.NullMarked;
