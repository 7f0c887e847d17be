package org.sequoiahub.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class RequestQuarantinePropertiesTest {

  private static final long REQUEST = 7;
  private static final QuarantineSettings SETTINGS = QuarantineSettings.DEFAULT;

  /** Hosts receive terminations in different orders and must reach the same decision. */
  @Property(tries = 2_000)
  void decisionDoesNotDependOnTheOrderOfTerminations(
      @ForAll @Size(max = 12) List<@IntRange(max = 2_000) Integer> starts, @ForAll long seed) {
    List<RunnerTermination> terminations = new ArrayList<>();
    for (int start : starts) {
      long length = 50 + start % 300;
      terminations.add(
          new RunnerTermination(
              REQUEST, terminations.size(), start, start + length, start % 3 == 0, true));
    }
    RequestQuarantine inOrder = new RequestQuarantine(SETTINGS);
    terminations.forEach(termination -> inOrder.recordTermination(termination, 3_000));
    Collections.shuffle(terminations, new Random(seed));
    RequestQuarantine shuffled = new RequestQuarantine(SETTINGS);
    terminations.forEach(termination -> shuffled.recordTermination(termination, 3_000));
    assertThat(shuffled.activeQuarantine(REQUEST, 3_000).map(ActiveQuarantine::untilMillis))
        .isEqualTo(inOrder.activeQuarantine(REQUEST, 3_000).map(ActiveQuarantine::untilMillis));
  }
}
