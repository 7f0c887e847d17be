package org.sequoiahub.node.holder;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a host that orders a runner with a lease that it has lost and regained, although
 * another host held the lease meanwhile.
 */
class InterruptedLeaseTest {

  private static final long STARTUP_MILLIS = 6_000;

  @BeforeEach
  void silenceLogging() {
    Logger.getLogger("org.sequoiahub").setLevel(Level.OFF);
  }

  private static HolderSimulation startedFleet(long seed, int hosts) {
    HolderSimulation simulation = new HolderSimulation(seed, true, hosts);
    for (int i = 0; i < 10 && simulation.orderingHosts().isEmpty(); i++) {
      simulation.advanceTime(STARTUP_MILLIS);
    }
    return simulation;
  }

  private static void assertOrdersGoOn(HolderSimulation simulation) {
    simulation.advanceTime(12_000);
    int orders = simulation.ordersWithin(4_000);
    assertThat(orders).isGreaterThan(0);
  }

  /** Two hosts gain the lease from each other while the other one is paused. */
  @Nested
  class AlternatingPauses {

    @ParameterizedTest
    @CsvSource({"7, 12", "77, 1"})
    void runnerNeverHasTwoHolders(int hosts, int seeds) {
      for (int seed = 1; seed <= seeds; seed++) {
        Random random = new Random(seed);
        HolderSimulation simulation = startedFleet(seed, hosts);
        int pauseMillis = 1_100 + random.nextInt(1_200);
        int last = -1;
        for (int i = 0; i < 6; i++) {
          last = anotherHost(simulation.claimingHosts(), last, random);
          simulation.pause(last);
          simulation.advanceTime(pauseMillis);
          simulation.resume(last);
          simulation.advanceTime(450);
        }
        assertOrdersGoOn(simulation);
      }
    }
  }

  /** Up to three hosts that hold or claim leases are paused, cut off, muted and restarted. */
  @Nested
  class RandomInterruptions {

    @ParameterizedTest
    @CsvSource({"7, 15", "77, 1"})
    void runnerNeverHasTwoHolders(int hosts, int seeds) {
      for (int seed = 1; seed <= seeds; seed++) {
        Random random = new Random(seed);
        HolderSimulation simulation = startedFleet(seed, hosts);
        List<Integer> interrupted = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
          int host = anotherHost(simulation.claimingHosts(), -1, random);
          interrupt(simulation, host, random.nextInt(8));
          interrupted.add(host);
          simulation.advanceTime(100 + random.nextInt(3_900));
          if (interrupted.size() > random.nextInt(3)) {
            recover(simulation, interrupted.remove(0));
            simulation.advanceTime(random.nextInt(600));
          }
        }
        interrupted.forEach(host -> recover(simulation, host));
        assertOrdersGoOn(simulation);
      }
    }

    private static void interrupt(HolderSimulation simulation, int host, int kind) {
      switch (kind) {
        case 0 -> simulation.disconnect(host);
        case 1 -> simulation.muteHost(host);
        case 2 -> simulation.kill(host);
        default -> simulation.pause(host);
      }
    }

    private static void recover(HolderSimulation simulation, int host) {
      simulation.resume(host);
      simulation.reconnect(host);
      simulation.unmuteHost(host);
    }
  }

  private static int anotherHost(Set<Integer> hosts, int last, Random random) {
    List<Integer> candidates = new ArrayList<>(hosts);
    candidates.remove(Integer.valueOf(last));
    return candidates.isEmpty()
        ? Math.max(last, 0)
        : candidates.get(random.nextInt(candidates.size()));
  }
}
