package org.sequoiahub.node.origin;

import java.util.Optional;
import java.util.function.Consumer;
import org.sequoiahub.core.origin.StreamKey;
import org.sequoiahub.core.origin.StreamOrigin;

/** Finds where streams began. */
@FunctionalInterface
public interface OriginLookup {

  /**
   * Finds where a stream began.
   *
   * @param listener receives the result on the decision thread, possibly before this method
   *     returns; empty if no host that answered knows it
   */
  void find(StreamKey key, long nowMillis, Consumer<Optional<StreamOrigin>> listener);
}
