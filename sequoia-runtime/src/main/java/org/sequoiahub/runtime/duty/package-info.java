/** Threads that own one duty each, fed through bounded rings. */
@NullMarked
package org.sequoiahub.runtime.duty;

import org.jspecify.annotations.NullMarked;
