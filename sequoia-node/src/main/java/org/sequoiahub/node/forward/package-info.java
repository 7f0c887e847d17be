/** Passes callers' requests on to another host, and serves those that other hosts pass on. */
@NullMarked
package org.sequoiahub.node.forward;

import org.jspecify.annotations.NullMarked;
