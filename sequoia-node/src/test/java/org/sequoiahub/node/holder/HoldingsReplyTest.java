package org.sequoiahub.node.holder;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HeldAdapter;
import org.sequoiahub.schema.peer.HeldBy;

class HoldingsReplyTest {

  private static final int ASKER = 4;

  /**
   * Symptom: in a large fleet requests wait 0.2 s longer for an adapter than its load takes.
   *
   * <p>Events: a host waits for an adapter of a runner that another host orders.
   *
   * <p>Cause: it learns what the runner holds through delegates only.
   */
  @Test
  void hostThatWaitsIsToldAtOnceWhatTheRunnerHolds() {
    HolderSimulation world = new HolderSimulation(11, true);
    world.advanceTime(10_000);
    for (int runner = 0; runner < HolderSimulation.RUNNERS; runner++) {
      List<Digest> told = world.requestHoldings(ASKER, runner);
      if (told.isEmpty()) {
        continue;
      }
      HeldBy held = told.get(0).getHoldings(0);
      assertThat(held.getHolding().getRunner()).isEqualTo(world.runnerId(runner));
      Set<String> adapters =
          held.getHolding().getAdaptersList().stream()
              .map(HeldAdapter::getAdapter)
              .collect(Collectors.toSet());
      assertThat(adapters).isNotEmpty();
      return;
    }
    throw new AssertionError("no host was told anything");
  }
}
