/**
 * The operators' command line: prints the state of processes, validates records without storing
 * them, and benchmarks the decision code. It changes nothing in a running deployment.
 */
@NullMarked
package org.sequoiahub.cli;

import org.jspecify.annotations.NullMarked;
