/** Hosts, runners and service upstreams as the platform publishes them. */
@NullMarked
package org.sequoiahub.core.fleet;

import org.jspecify.annotations.NullMarked;
