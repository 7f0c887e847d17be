/** Which revision of each record is in force, and how that spreads between watchers. */
@NullMarked
package org.sequoiahub.core.config;

import org.jspecify.annotations.NullMarked;
