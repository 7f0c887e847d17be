package org.sequoiahub.core.config;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/**
 * Guards against a traffic split that reverts after an operator has changed it, and against a
 * change that is in force on one host but not on another.
 *
 * <p>The configuration service responds from an older replica or not at all; watchers are
 * partitioned, restart without state, and exchange their records in any order; operators replace
 * and delete records concurrently, and some of the records are invalid. The failure occurs if a
 * response is considered newer because it arrived later.
 */
class WatchersPropertiesTest {

  @Property(tries = 2_000, seed = "20261204")
  void acceptedRecordsNeverRevertAndConverge(
      @ForAll("chains") ActionChain<WatchersActions.Watchers> chain) {
    chain.run().convergeAndCompare();
  }

  @Provide
  Arbitrary<?> chains() {
    return WatchersActions.chains();
  }
}
