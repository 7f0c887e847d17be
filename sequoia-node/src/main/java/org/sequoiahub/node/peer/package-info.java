/** The exchange of state between the hosts of a fleet. */
@NullMarked
package org.sequoiahub.node.peer;

import org.jspecify.annotations.NullMarked;
