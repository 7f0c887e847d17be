/** Connections between processes of the system: framed protobuf envelopes over TCP, multiplexed. */
@NullMarked
package org.sequoiahub.wire;

import org.jspecify.annotations.NullMarked;
