/** Text rendering of metrics. */
@NullMarked
package org.sequoiahub.runtime.metrics;

import org.jspecify.annotations.NullMarked;
