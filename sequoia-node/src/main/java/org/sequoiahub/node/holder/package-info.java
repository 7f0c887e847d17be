/** The right to order runners, and the orders. */
@NullMarked
package org.sequoiahub.node.holder;

import org.jspecify.annotations.NullMarked;
