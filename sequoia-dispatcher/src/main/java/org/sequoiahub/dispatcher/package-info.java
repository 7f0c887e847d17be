/** The owner of runners: admits, queues, loads, evicts, streams, cancels and resumes. */
@NullMarked
package org.sequoiahub.dispatcher;

import org.jspecify.annotations.NullMarked;
