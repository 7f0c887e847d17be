/** What the hosts of a fleet tell each other. */
@NullMarked
package org.sequoiahub.node.peer;

import org.jspecify.annotations.NullMarked;
