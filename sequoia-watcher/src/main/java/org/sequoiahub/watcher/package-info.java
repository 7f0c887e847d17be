/**
 * The watcher process: the only reader of the configuration service and of the host list on its
 * host.
 */
@NullMarked
package org.sequoiahub.watcher;

import org.jspecify.annotations.NullMarked;
