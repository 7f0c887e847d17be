/** Telling requests apart under which runner processes end (a "query of death"). */
@NullMarked
package org.sequoiahub.core.quarantine;

import org.jspecify.annotations.NullMarked;
