/**
 * Which runners an adapter belongs to, and which dispatcher owns a runner: computed, never agreed.
 */
@NullMarked
package org.sequoiahub.core.placement;

import org.jspecify.annotations.NullMarked;
