/** Free ports for processes that share a loopback interface: self-checks, demos and tests. */
@NullMarked
package org.sequoiahub.runtime.port;

import org.jspecify.annotations.NullMarked;
