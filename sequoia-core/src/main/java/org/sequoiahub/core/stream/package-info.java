/** Putting an answer's chunks in order, once each. */
@NullMarked
package org.sequoiahub.core.stream;

import org.jspecify.annotations.NullMarked;
