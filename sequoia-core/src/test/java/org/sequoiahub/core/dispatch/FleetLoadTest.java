package org.sequoiahub.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetLoadTest {

  private static final String RUNNER = "i-1";

  private final FleetLoad loads = new FleetLoad();

  private static Map<String, FleetLoad.Use> use(int requests) {
    return Map.of(
        RUNNER, new FleetLoad.Use(requests, 100L * requests, 0, Map.of("m/a1", requests)));
  }

  @Nested
  class Sums {
    @Test
    void coverThisHostAndTheSourcesAskedFor() {
      loads.add(RUNNER, 1, 10, 0, "m/a1");
      loads.told("near", use(2), true, 1_000);
      loads.told("far", use(4), true, 1_000);
      FleetLoad.Use sum = loads.sums(source -> source.equals("near"), 1_100).get(RUNNER);
      assertThat(sum).isEqualTo(new FleetLoad.Use(3, 210, 0, Map.of("m/a1", 3)));
    }

    @Test
    void leaveOutWhatIsOld() {
      loads.told("dead", use(2), true, 1_000);
      assertThat(loads.sums(source -> true, 10_000)).isEmpty();
    }
  }

  @Nested
  class WholeFleet {
    /**
     * Symptom: a host avoids the runners that it has requests at.
     *
     * <p>Events: the sums over the fleet hold this host's own part.
     *
     * <p>Cause: the own part is counted twice.
     */
    @Test
    void doesNotCountTheOwnPartTwice() {
      loads.add(RUNNER, 3, 300, 0, "m/a1");
      loads.toldWhole(use(5), 1_000);
      assertThat(loads.requests(RUNNER, 1_000)).isEqualTo(5);
      assertThat(loads.unreadTokens(RUNNER, 1_000)).isEqualTo(500);
    }

    @Test
    void mayBeOlderThanTheOwnPart() {
      loads.add(RUNNER, 3, 300, 0, "m/a1");
      loads.toldWhole(use(1), 1_000);
      assertThat(loads.requests(RUNNER, 1_000)).isEqualTo(3);
    }

    @Test
    void givesWayToItsParts() {
      loads.toldWhole(use(5), 1_000);
      loads.forgetWhole();
      loads.told("group a", use(2), true, 1_000);
      assertThat(loads.requests(RUNNER, 1_000)).isEqualTo(2);
    }
  }
}
