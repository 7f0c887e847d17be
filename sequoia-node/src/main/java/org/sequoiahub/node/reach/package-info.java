/** Observes whether this host has a network path to the runners, and probes it. */
@NullMarked
package org.sequoiahub.node.reach;

import org.jspecify.annotations.NullMarked;
