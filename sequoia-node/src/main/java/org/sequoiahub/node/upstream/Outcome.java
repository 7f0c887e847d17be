package org.sequoiahub.node.upstream;

import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.verdict.Verdict;

/** The outcome of one attempt to send a request to a runner. */
public sealed interface Outcome {

  /** Returns whether the request may have run at the runner. */
  default Verdict verdict() {
    if (this instanceof NotSent notSent) {
      return new Verdict.NotRun("not-sent", notSent.reason(), 0);
    }
    if (this instanceof Refused refused) {
      return new Verdict.NotRun("refused", "the runner refused it: " + refused.status(), 0);
    }
    return this instanceof ResponseLost lost
        ? new Verdict.MayHaveRun("response-lost", lost.reason())
        : new Verdict.Ran();
  }

  /**
   * The request did not reach the runner.
   *
   * @param reason the error that occurred
   * @param connect how the attempt to connect ended
   */
  record NotSent(String reason, Connect connect) implements Outcome {

    /** How an attempt to connect ended. */
    public enum Connect {
      /** No connection was attempted, or the request was withdrawn before it was sent. */
      NONE,
      /** The connect timed out. */
      TIMED_OUT,
      /**
       * The connect was refused: the runner's process has terminated, or this host has lost its
       * path to the runners.
       */
      REFUSED
    }
  }

  /** The runner declared that it has not run the request and will not run it. */
  record Refused(int status) implements Outcome {}

  /**
   * The runner sent a complete response.
   *
   * @param framing what marked its end
   */
  record Answered(int status, HttpFields headers, byte[] body, Framing framing)
      implements Outcome {}

  /**
   * A stream ended without an error; its content was passed to the listener.
   *
   * @param framing what marked its end
   */
  record StreamCompleted(Framing framing) implements Outcome {}

  /**
   * The request may have run, but its response was lost or is incomplete.
   *
   * @param reason the error that occurred
   * @param connectionBroken whether the connection broke before the response was complete, as it
   *     does when the runner's process terminates; otherwise the runner sent an invalid response
   */
  record ResponseLost(String reason, boolean connectionBroken) implements Outcome {}
}
