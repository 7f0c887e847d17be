/**
 * Measures the real decision code in virtual time, over fakes at its interfaces.
 *
 * <p>It is a driver of decisions, not a model of a cluster: there are no processes and no network,
 * only runners that hold slots, a weight store that takes time, and requests.
 */
@NullMarked
package org.sequoiahub.cli.bench;

import org.jspecify.annotations.NullMarked;
