/** The slots, queue and running requests of one runner, and the decisions about them. */
@NullMarked
package org.sequoiahub.core.runner;

import org.jspecify.annotations.NullMarked;
