/** Permits for loads from the weight store, which gives full speed to one load at a time. */
@NullMarked
package org.sequoiahub.core.load;

import org.jspecify.annotations.NullMarked;
