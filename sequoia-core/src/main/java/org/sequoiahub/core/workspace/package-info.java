/**
 * The workspaces that operators configure: who holds which access key, and what each workspace may
 * use.
 */
@NullMarked
package org.sequoiahub.core.workspace;

import org.jspecify.annotations.NullMarked;
