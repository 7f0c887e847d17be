/**
 * Bounding what each workspace uses over all hosts together: every host counts what it spends,
 * tells the others, and decides by the sum.
 */
@NullMarked
package org.sequoiahub.core.allowance;

import org.jspecify.annotations.NullMarked;
