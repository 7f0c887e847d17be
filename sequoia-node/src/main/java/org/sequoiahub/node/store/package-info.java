/** Reading the platform's store and following its changes. */
@NullMarked
package org.sequoiahub.node.store;

import org.jspecify.annotations.NullMarked;
