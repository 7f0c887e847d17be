/** Selection of the revision in force of each record, and its replication between watchers. */
@NullMarked
package org.sequoiahub.core.config;

import org.jspecify.annotations.NullMarked;
