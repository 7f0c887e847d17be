/** The HTTP front end for callers: inference, service calls and entry addresses. */
@NullMarked
package org.sequoiahub.entry;

import org.jspecify.annotations.NullMarked;
