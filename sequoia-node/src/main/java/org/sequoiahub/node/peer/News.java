package org.sequoiahub.node.peer;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.quarantine.RunnerTermination;

/**
 * One thing to tell other hosts of a request: a runner's end under it, or a good answer since.
 *
 * @param end the end; null for a good answer
 * @param request the request's fingerprint
 * @param atMillis when the good answer was complete; 0 for an end
 * @param toAll whether to tell it beyond this host's own group
 */
record News(@Nullable RunnerTermination end, long request, long atMillis, boolean toAll) {

  static News ended(RunnerTermination end, boolean toAll) {
    return new News(end, end.request(), 0, toAll);
  }

  static News cleared(long request, long atMillis, boolean toAll) {
    return new News(null, request, atMillis, toAll);
  }
}
