/** Routing of callers' requests to services according to the operator's configuration. */
@NullMarked
package org.sequoiahub.core.routing;

import org.jspecify.annotations.NullMarked;
