/** Membership: which hosts exist and which of them are alive, as far as this host knows. */
@NullMarked
package org.sequoiahub.core.member;

import org.jspecify.annotations.NullMarked;
