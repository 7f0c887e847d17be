/**
 * Quarantine of requests during which runner processes terminated (a "query of death"), decided
 * from the terminations that all hosts observed.
 */
@NullMarked
package org.sequoiahub.core.quarantine;

import org.jspecify.annotations.NullMarked;
