package org.sequoiahub.core.origin;

import org.sequoiahub.core.upstream.SoftwareVersion;

/** Where a stream of which a caller has received events may go on. */
public sealed interface ResumeDecision {

  /** Only at runners of a version. */
  record OnlyAt(SoftwareVersion version) implements ResumeDecision {}

  /** Not decided until the runners are known as of the time at which the request arrived. */
  record NotYet() implements ResumeDecision {}

  /**
   * Nowhere: the request must be refused without having run.
   *
   * @param reason the reason, for a human reader
   */
  record Nowhere(String reason) implements ResumeDecision {}
}
