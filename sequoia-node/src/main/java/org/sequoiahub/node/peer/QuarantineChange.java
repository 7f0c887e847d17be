package org.sequoiahub.node.peer;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.quarantine.RunnerTermination;

/**
 * A change to a request's quarantine record that other hosts are to receive: a runner's termination
 * while it processed the request, or a successful response since then.
 *
 * @param termination the termination; null for a successful response
 * @param request the request's fingerprint
 * @param succeededMillis when the successful response was complete; 0 for a termination
 * @param toAllGroups whether to send it beyond this host's own group
 */
record QuarantineChange(
    @Nullable RunnerTermination termination,
    long request,
    long succeededMillis,
    boolean toAllGroups) {

  static QuarantineChange terminated(RunnerTermination termination, boolean toAllGroups) {
    return new QuarantineChange(termination, termination.request(), 0, toAllGroups);
  }

  static QuarantineChange cleared(long request, long succeededMillis, boolean toAllGroups) {
    return new QuarantineChange(null, request, succeededMillis, toAllGroups);
  }
}
