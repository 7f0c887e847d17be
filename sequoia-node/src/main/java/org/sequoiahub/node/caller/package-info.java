/** HTTP server for callers: connections, requests and responses. */
@NullMarked
package org.sequoiahub.node.caller;

import org.jspecify.annotations.NullMarked;
