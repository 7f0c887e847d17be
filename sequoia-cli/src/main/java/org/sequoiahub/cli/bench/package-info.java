/**
 * Benchmarks of the production decision code: policies are simulated in virtual time, and the heap
 * and time that state and messages take are measured.
 *
 * <p>The simulation drives the decisions and does not model a cluster: there are no processes and
 * no network, only runners with slots, a weight store whose loads take time, and requests.
 */
@NullMarked
package org.sequoiahub.cli.bench;

import org.jspecify.annotations.NullMarked;
