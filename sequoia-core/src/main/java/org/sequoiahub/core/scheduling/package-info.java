/** The order of waiting requests, and which requests are rejected when capacity is short. */
@NullMarked
package org.sequoiahub.core.scheduling;

import org.jspecify.annotations.NullMarked;
