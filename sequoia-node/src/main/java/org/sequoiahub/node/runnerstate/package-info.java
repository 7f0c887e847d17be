/**
 * Applies what runners state about themselves to the calls of this host, and shows it to operators.
 */
@NullMarked
package org.sequoiahub.node.runnerstate;

import org.jspecify.annotations.NullMarked;
