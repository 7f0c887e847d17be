/** Counters and histograms as text. */
@NullMarked
package org.sequoiahub.runtime.metrics;

import org.jspecify.annotations.NullMarked;
