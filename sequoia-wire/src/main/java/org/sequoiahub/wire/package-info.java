/** Connections between our own processes: framed protobuf envelopes over TCP, many calls each. */
@NullMarked
package org.sequoiahub.wire;

import org.jspecify.annotations.NullMarked;
