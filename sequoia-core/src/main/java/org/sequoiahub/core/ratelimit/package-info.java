/** Limits that runners state on the rate of the requests they take from all hosts together. */
@NullMarked
package org.sequoiahub.core.ratelimit;

import org.jspecify.annotations.NullMarked;
