/** The program that each host of the users' platform runs, assembled from its components. */
@NullMarked
package org.sequoiahub.node;

import org.jspecify.annotations.NullMarked;
