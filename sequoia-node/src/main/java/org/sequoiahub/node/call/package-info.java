/** A caller's request from its arrival to its last byte. */
@NullMarked
package org.sequoiahub.node.call;

import org.jspecify.annotations.NullMarked;
