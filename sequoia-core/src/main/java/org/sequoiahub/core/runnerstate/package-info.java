/**
 * What runners state about themselves in their responses, and whether a call may be sent to one.
 *
 * <p>{@link org.sequoiahub.core.runnerstate.RunnerAvailability} is the only place that decides from
 * these statements. Requests, orders and reports all ask it before they are sent.
 */
@NullMarked
package org.sequoiahub.core.runnerstate;

import org.jspecify.annotations.NullMarked;
