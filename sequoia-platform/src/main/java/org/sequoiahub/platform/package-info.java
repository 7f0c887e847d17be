/**
 * Adapters to what the platform publishes, one class for each interface in docs/PLATFORM.md, so
 * that another implementation of the platform needs a change in one place only.
 */
@NullMarked
package org.sequoiahub.platform;

import org.jspecify.annotations.NullMarked;
