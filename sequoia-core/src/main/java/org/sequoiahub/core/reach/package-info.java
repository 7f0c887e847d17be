/** Decides whether this host has a network path to the runners. */
@NullMarked
package org.sequoiahub.core.reach;

import org.jspecify.annotations.NullMarked;
