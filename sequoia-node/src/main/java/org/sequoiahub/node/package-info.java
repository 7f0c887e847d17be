/** The program that a host runs on the users' platform, put together from its duties. */
@NullMarked
package org.sequoiahub.node;

import org.jspecify.annotations.NullMarked;
