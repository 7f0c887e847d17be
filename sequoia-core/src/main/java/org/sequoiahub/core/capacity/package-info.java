/**
 * How fast each runner currently works, estimated from what runners state and how long requests
 * take.
 *
 * <p>{@link org.sequoiahub.core.capacity.CapacityEstimator} is the only place that estimates. It
 * has no clock and no I/O; the choice of a runner reads its results as {@link
 * org.sequoiahub.core.capacity.RunnerSpeed}.
 */
@NullMarked
package org.sequoiahub.core.capacity;

import org.jspecify.annotations.NullMarked;
