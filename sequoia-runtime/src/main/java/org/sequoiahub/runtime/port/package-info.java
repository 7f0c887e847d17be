/**
 * Ports for processes that run beside others on loopback addresses: self-checks, demos and tests.
 */
@NullMarked
package org.sequoiahub.runtime.port;

import org.jspecify.annotations.NullMarked;
