/**
 * A randomized soak test: runs the real host program as several processes, injects faults from
 * outside, and checks the guarantees to callers against what callers and runners observe.
 */
@NullMarked
package org.sequoiahub.soak;

import org.jspecify.annotations.NullMarked;
