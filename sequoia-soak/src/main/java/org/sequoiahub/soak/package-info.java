/**
 * A randomized soak: the real program of a host as several processes, faults injected from outside,
 * and the promises to callers checked from what callers and runners see.
 */
@NullMarked
package org.sequoiahub.soak;

import org.jspecify.annotations.NullMarked;
