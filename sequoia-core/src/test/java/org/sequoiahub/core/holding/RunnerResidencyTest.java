package org.sequoiahub.core.holding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.ModelSpec;

class RunnerResidencyTest {

  private static final EngineSpec ENGINE =
      new EngineSpec(8, 10_000, 1_000, 4, 3, 4, List.of(new ModelSpec("m", 800, 10, 500)));

  private final RunnerResidency residency =
      new RunnerResidency(
          ENGINE, ResidencySettings.DEFAULT, LoadEstimates.of(ResidencySettings.DEFAULT, 8));

  @Nested
  class LoadsThatTakeLongerThanExpected {

    /**
     * Guards against a load time estimate that stays too short, so that a fifth of all requests is
     * rejected once by a runner that does not have their adapter yet. Adapters take 288 ms to load
     * and are initially expected after 250 ms, the value of another fleet; one request per load
     * arrives at the expected moment. With a fixed estimate all 200 requests are rejected.
     */
    @Test
    void raiseTheEstimate() {
      residency.applyReport(report(Map.of()), 1_000);
      int refused = 0;
      long now = 10_000;
      for (int load = 0; load < 200; load++) {
        final long start = now;
        Order order =
            residency.nextOrder(List.of(demand(load)), target -> 0, target -> 0, 0, now).get();
        while (order.operation() == Order.Operation.UNLOAD) {
          residency.orderSent(order, now);
          residency.replyReceived(order, OrderReply.DONE, 0, now);
          order =
              residency.nextOrder(List.of(demand(load)), target -> 0, target -> 0, 0, now).get();
        }
        residency.orderSent(order, now);
        residency.replyReceived(order, OrderReply.ACCEPTED, 0, now);
        String target = order.target();
        long ready =
            residency.heldAdapters().stream()
                .filter(item -> item.target().equals(target))
                .findFirst()
                .get()
                .readyMillis();
        if (ready < start + 288) {
          refused++;
          residency.adapterMissing(target, ready);
        }
        assertThat(ready).isAtMost(start + 288 + 40);
        now += 5_000;
      }
      assertThat(refused).isAtMost(20);
    }

    private Demand demand(int number) {
      return new Demand("m", "a" + number, 1, 1, 0);
    }
  }

  @Nested
  class RejectedForHeldAdapter {

    /**
     * Guards against one request that is rejected four times within 0.2 s by the same runner: the
     * runner has lost an adapter that it held for long, and the holder keeps reporting the adapter
     * as held until the next runner report.
     */
    @Test
    void isNotReportedAsHeldUntilNextReport() {
      residency.applyReport(report(Map.of("m/a1", 1)), 1_000);
      residency.adapterMissing("m/a1", 5_000);
      assertThat(residency.heldAdapters()).isEmpty();
      assertThat(residency.isReportDue(5_000)).isTrue();
      residency.applyReport(report(Map.of("m/a1", 1)), 5_100);
      assertThat(residency.heldAdapters()).hasSize(1);
    }

    @Test
    void isReportedAsInTransitWhileLoadMayBeLate() {
      residency.applyReport(report(Map.of("m/a1", 1)), 1_000);
      residency.adapterMissing("m/a1", 1_100);
      assertThat(residency.heldAdapters()).hasSize(1);
      assertThat(residency.heldAdapters().get(0).readyMillis()).isGreaterThan(1_100);
    }
  }

  private static RunnerReport report(Map<String, Integer> adapters) {
    return new RunnerReport(0, 1, false, Set.of("m"), adapters, Map.of());
  }
}
