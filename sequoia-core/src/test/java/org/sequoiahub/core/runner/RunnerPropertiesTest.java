package org.sequoiahub.core.runner;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/**
 * Symptom: a stream that breaks because its adapter was evicted under it; a request told "not run"
 * that ran; a request that waits for ever.
 *
 * <p>Events: two dispatchers believe they own a runner; any of them is paused, killed or cut off;
 * messages are lost, late and reordered; the engine restarts cold; loads fail; leases are
 * forgotten.
 *
 * <p>Cause looked for: a decision taken on what was true before.
 */
class RunnerPropertiesTest {

  @Property(tries = 3_000, seed = "20261202")
  void engineThatChecksFencing(@ForAll("fencedChains") ActionChain<RunnerWorld> chain) {
    chain.run().settleDown();
  }

  @Property(tries = 3_000, seed = "20261203")
  void engineThatDoesNotCheckFencing(@ForAll("unfencedChains") ActionChain<RunnerWorld> chain) {
    chain.run().settleDown();
  }

  @Provide
  Arbitrary<?> fencedChains() {
    return RunnerActions.chains(true);
  }

  @Provide
  Arbitrary<?> unfencedChains() {
    return RunnerActions.chains(false);
  }
}
