/** Which hosts there are and which of them are alive, as far as this host has heard. */
@NullMarked
package org.sequoiahub.core.member;

import org.jspecify.annotations.NullMarked;
