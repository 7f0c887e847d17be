package org.sequoiahub.node.forward;

import org.eclipse.jetty.http.HttpFields;

/** How a request that was passed on has ended. */
public sealed interface ForwardOutcome {

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
