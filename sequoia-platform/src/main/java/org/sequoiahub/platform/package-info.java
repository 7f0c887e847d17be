/**
 * Clients of the interfaces that the platform publishes, one class for each interface in
 * docs/PLATFORM.md, so that supporting another implementation of the platform requires changes in
 * this package only.
 */
@NullMarked
package org.sequoiahub.platform;

import org.jspecify.annotations.NullMarked;
