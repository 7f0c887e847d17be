/**
 * Requests that are held back because runner processes ended while they ran them (a "query of
 * death"), judged by what all hosts saw.
 */
@NullMarked
package org.sequoiahub.core.quarantine;

import org.jspecify.annotations.NullMarked;
