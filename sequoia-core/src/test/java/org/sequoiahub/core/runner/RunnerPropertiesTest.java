package org.sequoiahub.core.runner;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/**
 * Guards against decisions that are based on outdated state: a stream that breaks because its
 * adapter is evicted under it, a request that runs although it was reported as not run, and a
 * request that waits forever.
 *
 * <p>Two dispatchers consider themselves the owner of one runner. Either of them is paused, killed
 * or disconnected; messages are lost, delayed and reordered; the engine restarts without state;
 * loads fail; granters lose their leases.
 */
class RunnerPropertiesTest {

  @Property(tries = 3_000, seed = "20261202")
  void engineThatChecksFencing(@ForAll("fencedChains") ActionChain<RunnerWorld> chain) {
    chain.run().settle();
  }

  @Property(tries = 3_000, seed = "20261203")
  void engineThatDoesNotCheckFencing(@ForAll("unfencedChains") ActionChain<RunnerWorld> chain) {
    chain.run().settle();
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
