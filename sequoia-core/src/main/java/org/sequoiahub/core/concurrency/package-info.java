/**
 * Keeps the calls of all hosts to a runner within the number that it accepts, for runners that fail
 * when they refuse too many.
 *
 * <p>{@link org.sequoiahub.core.concurrency.RefusalLimits} holds which runners state how many
 * refusals they withstand. A call to such a runner needs a run permit ({@link
 * org.sequoiahub.core.concurrency.RunPermits}) until it ends. The host that all others follow
 * issues them ({@link org.sequoiahub.core.concurrency.RunPermitIssuer}), as many as the runner is
 * known to accept ({@link org.sequoiahub.core.concurrency.CapacityEstimate}).
 */
@NullMarked
package org.sequoiahub.core.concurrency;

import org.jspecify.annotations.NullMarked;
