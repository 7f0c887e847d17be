/** The callers' side: inference, plain services and address answers over HTTP. */
@NullMarked
package org.sequoiahub.entry;

import org.jspecify.annotations.NullMarked;
