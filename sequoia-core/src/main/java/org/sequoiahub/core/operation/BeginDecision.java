package org.sequoiahub.core.operation;

import org.sequoiahub.core.verdict.Verdict;

/**
 * What to do with a call that carries an operation id.
 *
 * @param <A> the type of a kept answer
 */
public sealed interface BeginDecision<A> {

  /** Run it now: it has not run, and no other call will be told to run it. */
  record Run<A>() implements BeginDecision<A> {}

  /** It is running: wait for the answer of the first call. */
  record Wait<A>() implements BeginDecision<A> {}

  /** It has run: repeat this answer. */
  record Replay<A>(A answer) implements BeginDecision<A> {}

  /** It must not run; the verdict says what is known of it. */
  record Refuse<A>(Verdict verdict) implements BeginDecision<A> {}
}
