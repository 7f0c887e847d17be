/** Verdicts on whether a request may have run upstream, and how they combine. */
@NullMarked
package org.sequoiahub.core.verdict;

import org.jspecify.annotations.NullMarked;
