package org.sequoiahub.node.origin;

import org.sequoiahub.core.origin.StreamKey;
import org.sequoiahub.core.origin.StreamOrigin;

/** Records where streams began. */
@FunctionalInterface
public interface OriginRecorder {

  /** Records where a stream began, once its first event has gone to the caller. */
  void record(StreamKey key, StreamOrigin origin, long nowMillis);
}
