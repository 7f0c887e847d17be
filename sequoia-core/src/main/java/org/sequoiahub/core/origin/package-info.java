/**
 * Where a stream began, and where it may therefore go on: runners of two software versions must not
 * contribute events to one stream.
 */
@NullMarked
package org.sequoiahub.core.origin;

import org.jspecify.annotations.NullMarked;
