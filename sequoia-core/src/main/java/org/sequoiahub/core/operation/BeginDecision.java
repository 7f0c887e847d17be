package org.sequoiahub.core.operation;

import org.sequoiahub.core.verdict.Verdict;

/**
 * Decision on a call that carries an operation id.
 *
 * @param <A> the type of a stored response
 */
public sealed interface BeginDecision<A> {

  /** The operation has not run, and no other call is running it: run it now. */
  record Run<A>() implements BeginDecision<A> {}

  /** The operation is running: wait for the response to the first call. */
  record Wait<A>() implements BeginDecision<A> {}

  /**
   * The operation has run: return the stored response.
   *
   * @param answer the response to the first call
   */
  record Replay<A>(A answer) implements BeginDecision<A> {}

  /**
   * The operation must not run.
   *
   * @param verdict whether it certainly has not run or may have run
   */
  record Refuse<A>(Verdict verdict) implements BeginDecision<A> {}
}
