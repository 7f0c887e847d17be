package org.sequoiahub.node.holder;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.core.authority.LeaseCommittee;

/** Plays the leases of a large fleet in virtual time. */
class LeaseClaimsTest {

  private static final long STARTUP_MILLIS = 8_000;
  private static final int MEASURED_MILLIS = 4_000;

  @BeforeEach
  void silenceLogging() {
    Logger.getLogger("org.sequoiahub").setLevel(Level.OFF);
  }

  private static HolderSimulation startedFleet(long seed, int hosts) {
    HolderSimulation simulation = new HolderSimulation(seed, true, hosts);
    for (int i = 0; i < 4 && simulation.orderingHosts().isEmpty(); i++) {
      simulation.advanceTime(STARTUP_MILLIS);
    }
    return simulation;
  }

  /** Guards against claims to every host, whose number grows with hosts and holders. */
  @Nested
  class Renewals {
    @ParameterizedTest
    @ValueSource(ints = {77, 200})
    void reachTheCommitteeOnly(int hosts) {
      HolderSimulation simulation = startedFleet(1, hosts);
      Map<Integer, Integer> claims = simulation.claimsWithin(MEASURED_MILLIS);
      assertThat(claims.size()).isAtMost(LeaseCommittee.SIZE);
      assertThat(simulation.orderingHosts()).isNotEmpty();
    }
  }

  /** Guards against two holders while hosts of an earlier release need a majority of all hosts. */
  @Nested
  class MixedReleases {
    @Test
    void askAllHosts() {
      HolderSimulation simulation = new HolderSimulation(2, true, 40);
      simulation.runEarlierRelease(33);
      simulation.advanceTime(2 * STARTUP_MILLIS);
      assertThat(simulation.claimsWithin(MEASURED_MILLIS).size()).isAtLeast(39);
      assertThat(simulation.orderingHosts()).isNotEmpty();
    }
  }

  /** Guards against two hosts that order one runner after hosts of the committee have restarted. */
  @Nested
  class Restarts {
    @ParameterizedTest
    @CsvSource({"40, 6", "77, 2"})
    void runnerNeverHasTwoHolders(int hosts, int seeds) {
      for (int seed = 1; seed <= seeds; seed++) {
        Random random = new Random(seed);
        HolderSimulation simulation = startedFleet(seed, hosts);
        for (int i = 0; i < 6; i++) {
          for (int restarted = 0; restarted < hosts / 4; restarted++) {
            simulation.kill(random.nextInt(hosts));
          }
          simulation.advanceTime(500 + random.nextInt(3_000));
        }
        simulation.killAll();
        simulation.advanceTime(2 * STARTUP_MILLIS);
        assertThat(simulation.ordersWithin(MEASURED_MILLIS)).isGreaterThan(0);
      }
    }
  }
}
