/** Whether a request may have run upstream, and how such verdicts combine. */
@NullMarked
package org.sequoiahub.core.verdict;

import org.jspecify.annotations.NullMarked;
