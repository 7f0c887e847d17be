/** The operators' command line: read-only, and dry runs. */
@NullMarked
package org.sequoiahub.cli;

import org.jspecify.annotations.NullMarked;
