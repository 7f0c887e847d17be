/** The hosts, runners and service upstreams that the platform publishes. */
@NullMarked
package org.sequoiahub.core.fleet;

import org.jspecify.annotations.NullMarked;
