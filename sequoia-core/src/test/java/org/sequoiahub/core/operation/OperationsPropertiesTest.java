package org.sequoiahub.core.operation;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/**
 * Symptom: a family is charged twice; a caller is told "not run" of a booking that exists.
 *
 * <p>Events: callers repeat ids anywhere, together and late; dispatchers are restarted with nothing
 * kept; answers are lost; ids expire; the table is full; a pause delays what was decided before.
 *
 * <p>Cause looked for: two processes, or one that forgot, that both think an operation is theirs.
 */
class OperationsPropertiesTest {

  @Property(tries = 3_000, seed = "20261205")
  void operationRunsAtMostOnce(@ForAll("chains") ActionChain<OperationsActions.Simulation> chain) {
    chain.run();
  }

  @Provide
  Arbitrary<?> chains() {
    return OperationsActions.chains();
  }
}
