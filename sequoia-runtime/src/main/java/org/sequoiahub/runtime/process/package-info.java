/** Start, graceful shutdown and exit codes of a process. */
@NullMarked
package org.sequoiahub.runtime.process;

import org.jspecify.annotations.NullMarked;
