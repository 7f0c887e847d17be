/** In-process substitutes for the platform services, for tests, the demo and experiments only. */
@NullMarked
package org.sequoiahub.standins;

import org.jspecify.annotations.NullMarked;
