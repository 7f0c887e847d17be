package org.sequoiahub.node.forward;

import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.core.verdict.Verdict;

/** How a request that was passed on has ended. */
public sealed interface ForwardOutcome {

  /** Returns whether the request may have run at the other host or at a runner of its choice. */
  default Verdict verdict() {
    if (this instanceof Answered answered) {
      return answered.notRun()
          ? new Verdict.NotRun("other-host-refused", "another host refused it", 0)
          : new Verdict.Ran();
    }
    if (this instanceof Lost lost) {
      return lost.mayHaveRun()
          ? new Verdict.MayHaveRun("other-host-lost", lost.reason())
          : new Verdict.NotRun("not-passed-on", lost.reason(), 0);
    }
    return new Verdict.Ran();
  }

  /**
   * The other host sent a complete response.
   *
   * @param notRun whether it guarantees that the request has not run there
   */
  record Answered(int status, HttpFields headers, byte[] body, boolean notRun)
      implements ForwardOutcome {}

  /** A stream ended properly; its content was passed to the listener. */
  record StreamCompleted() implements ForwardOutcome {}

  /**
   * The response was lost or is incomplete.
   *
   * @param mayHaveRun false if the request did not leave this host
   */
  record Lost(String reason, boolean mayHaveRun) implements ForwardOutcome {}
}
