/**
 * The assignment of adapters to runners and of runners to dispatchers, which every process computes
 * on its own without coordination.
 */
@NullMarked
package org.sequoiahub.core.placement;

import org.jspecify.annotations.NullMarked;
