package org.sequoiahub.node.peer;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.quarantine.RunnerEnd;

/**
 * One thing to tell other hosts of a request: a runner's end under it, or a good answer since.
 *
 * @param termination the end; null for a good answer
 * @param request the request's fingerprint
 * @param succeededMillis when the good answer was complete; 0 for an end
 * @param toAllGroups whether to tell it beyond this host's own group
 */
record QuarantineChange(@Nullable RunnerEnd termination, long request, long succeededMillis, boolean toAllGroups) {

  static QuarantineChange terminated(RunnerEnd end, boolean toAll) {
    return new QuarantineChange(end, end.request(), 0, toAll);
  }

  static QuarantineChange cleared(long request, long atMillis, boolean toAll) {
    return new QuarantineChange(null, request, atMillis, toAll);
  }
}
