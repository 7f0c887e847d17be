/** Applies the runners' rate limits to the calls of this host, and shows them to operators. */
@NullMarked
package org.sequoiahub.node.ratelimit;

import org.jspecify.annotations.NullMarked;
