/**
 * Keeps the fleet within the rate of requests that a runner states it takes from all hosts
 * together.
 *
 * <p>{@link org.sequoiahub.core.ratelimit.RunnerLimits} holds what runners stated. A host sends to
 * such a runner only with a permit ({@link org.sequoiahub.core.ratelimit.SenderPermits}) of the one
 * host that it follows ({@link org.sequoiahub.core.ratelimit.IssuerFollowing}). That host issues
 * permits at the part of the rate that corresponds to its followers ({@link
 * org.sequoiahub.core.ratelimit.PermitIssuer}), so hosts that follow different issuers stay within
 * the limit together.
 */
@NullMarked
package org.sequoiahub.core.ratelimit;

import org.jspecify.annotations.NullMarked;
