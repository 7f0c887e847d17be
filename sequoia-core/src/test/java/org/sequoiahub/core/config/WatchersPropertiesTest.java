package org.sequoiahub.core.config;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/**
 * Symptom: a traffic split that an operator has changed comes back; a change is in force on one
 * host and not on another.
 *
 * <p>Events: the configuration service answers from an older replica or not at all; watchers are
 * partitioned, restarted with nothing, and exchange what they have in any order; operators replace,
 * delete and race, with records that cannot be accepted among them.
 *
 * <p>Cause looked for: an answer taken for newer because it came later.
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
