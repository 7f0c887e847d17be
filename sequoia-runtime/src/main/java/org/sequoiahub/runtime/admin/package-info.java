/** The read-only administration interface of a process. */
@NullMarked
package org.sequoiahub.runtime.admin;

import org.jspecify.annotations.NullMarked;
