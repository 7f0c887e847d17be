/**
 * Limits what each workspace uses on all hosts together: every host counts its own spending,
 * reports it to the other hosts, and decides by the sum.
 */
@NullMarked
package org.sequoiahub.core.allowance;

import org.jspecify.annotations.NullMarked;
