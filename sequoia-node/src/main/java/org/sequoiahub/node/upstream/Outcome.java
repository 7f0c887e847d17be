package org.sequoiahub.node.upstream;

import org.eclipse.jetty.http.HttpFields;

/** How one attempt at a runner ended. */
public sealed interface Outcome {

  /**
   * Nothing reached the runner.
   *
   * @param why what was seen
   * @param refused whether the connection was refused: nobody listens at the runner's address any
   *     more
   */
  record NotSent(String why, boolean refused) implements Outcome {}

  /** The runner said that it did not run the request and will not. */
  record Refused(int status) implements Outcome {}

  /** The runner gave a whole answer. */
  record Answered(int status, HttpFields headers, byte[] body) implements Outcome {}

  /** A stream reached its proper end; its pieces were passed on. */
  record StreamEnded() implements Outcome {}

  /**
   * The request may have run, and its answer is lost or broken off.
   *
   * @param why what was seen
   * @param connectionBroke whether the connection broke before the answer was whole, as it does
   *     when the runner's process ends; else the runner sent something that is no answer
   */
  record Lost(String why, boolean connectionBroke) implements Outcome {}
}
