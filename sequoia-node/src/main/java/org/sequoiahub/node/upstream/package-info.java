/** Requests to runners over HTTP, and how each attempt ends. */
@NullMarked
package org.sequoiahub.node.upstream;

import org.jspecify.annotations.NullMarked;
