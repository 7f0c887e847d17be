/** HTTP client for requests to runners, and the outcome of each attempt. */
@NullMarked
package org.sequoiahub.node.upstream;

import org.jspecify.annotations.NullMarked;
