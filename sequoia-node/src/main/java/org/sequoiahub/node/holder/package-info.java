/** Acquires the leases of runners and sends orders to the runners whose lease is held. */
@NullMarked
package org.sequoiahub.node.holder;

import org.jspecify.annotations.NullMarked;
