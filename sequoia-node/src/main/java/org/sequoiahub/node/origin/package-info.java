/** Keeps where streams began at several hosts, and finds it when a caller takes a stream up. */
@NullMarked
package org.sequoiahub.node.origin;

import org.jspecify.annotations.NullMarked;
