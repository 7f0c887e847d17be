/** Small stand-ins for the platform, for tests, the demo and experiments only. */
@NullMarked
package org.sequoiahub.standins;

import org.jspecify.annotations.NullMarked;
