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

  private static final int WAITING_HOST = 4;

  /**
   * Guards against a delay in large fleets: a host that waits for an adapter of a runner held by
   * another host received the runner's holdings through delegates only, so its requests waited 0.2
   * s longer than the load took.
   */
  @Test
  void waitingHostReceivesHoldingsAtOnce() {
    HolderSimulation simulation = new HolderSimulation(11, true);
    simulation.advanceTime(10_000);
    for (int runner = 0; runner < HolderSimulation.RUNNERS; runner++) {
      List<Digest> digests = simulation.requestHoldings(WAITING_HOST, runner);
      if (digests.isEmpty()) {
        continue;
      }
      HeldBy held = digests.get(0).getHoldings(0);
      assertThat(held.getHolding().getRunner()).isEqualTo(simulation.runnerId(runner));
      Set<String> adapters =
          held.getHolding().getAdaptersList().stream()
              .map(HeldAdapter::getAdapter)
              .collect(Collectors.toSet());
      assertThat(adapters).isNotEmpty();
      return;
    }
    throw new AssertionError("the waiting host received no holdings of any runner");
  }
}
