package org.sequoiahub.core.operation;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/**
 * Guards against an operation that runs twice, so that a caller is charged twice, and against a
 * {@code NotRun} verdict for an operation that did run.
 *
 * <p>Callers repeat ids at any dispatcher, concurrently and late; dispatchers restart without
 * state; responses are lost; ids expire; the table is full; a pause delays a call that was already
 * decided. The failure occurs if two processes, or one process before and after a restart, both
 * consider themselves the owner of an operation.
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
