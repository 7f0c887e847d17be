/** Reassembly of streamed responses: chunks in order, once each, and whole events. */
@NullMarked
package org.sequoiahub.core.stream;

import org.jspecify.annotations.NullMarked;
