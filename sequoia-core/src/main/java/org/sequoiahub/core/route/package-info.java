/** Resolving a caller's model name once, and choosing the runner that can start it soonest. */
@NullMarked
package org.sequoiahub.core.route;

import org.jspecify.annotations.NullMarked;
