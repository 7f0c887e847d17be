/** One runner's slots, queue and running requests, and the decisions about them. */
@NullMarked
package org.sequoiahub.core.runner;

import org.jspecify.annotations.NullMarked;
