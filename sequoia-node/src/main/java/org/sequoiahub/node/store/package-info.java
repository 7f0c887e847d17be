/** Reads the platform's store and follows its changes. */
@NullMarked
package org.sequoiahub.node.store;

import org.jspecify.annotations.NullMarked;
