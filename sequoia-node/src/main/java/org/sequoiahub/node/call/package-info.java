/** Processing of callers' requests: admission, choice of a runner, attempts and responses. */
@NullMarked
package org.sequoiahub.node.call;

import org.jspecify.annotations.NullMarked;
