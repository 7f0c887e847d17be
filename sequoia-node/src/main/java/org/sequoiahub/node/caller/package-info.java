/** The callers' side: connections, requests and answers over HTTP. */
@NullMarked
package org.sequoiahub.node.caller;

import org.jspecify.annotations.NullMarked;
