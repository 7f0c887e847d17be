package org.sequoiahub.node.upstream;

import org.eclipse.jetty.http.HttpFields;

/** How one attempt at a runner ended. */
public sealed interface Outcome {

  /**
   * Nothing reached the runner.
   *
   * @param reason what was seen
   * @param connectionRefused whether the connection was refused: nobody listens at the runner's
   *     address any more
   */
  record NotSent(String reason, boolean connectionRefused) implements Outcome {}

  /** The runner said that it did not run the request and will not. */
  record Refused(int status) implements Outcome {}

  /** The runner gave a whole answer. */
  record Answered(int status, HttpFields headers, byte[] body) implements Outcome {}

  /** A stream reached its proper end; its pieces were passed on. */
  record StreamCompleted() implements Outcome {}

  /**
   * The request may have run, and its answer is lost or broken off.
   *
   * @param reason what was seen
   * @param connectionBroken whether the connection broke before the answer was whole, as it does
   *     when the runner's process ends; else the runner sent something that is no answer
   */
  record ResponseLost(String reason, boolean connectionBroken) implements Outcome {}
}
