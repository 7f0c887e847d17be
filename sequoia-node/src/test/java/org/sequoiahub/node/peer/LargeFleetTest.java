package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A fleet of 40 hosts in 4 failure domains, in which delegates forward all states. */
class LargeFleetTest {

  private static final int HOSTS = 40;
  private static final int DOMAINS = 4;
  private static final String RUNNER = "i-1";
  private static final String OTHER_RUNNER = "i-2";

  /** A change at a host (100 ms), two digests (150 ms each), one of which is lost (150 ms). */
  private static final long PROPAGATION_MILLIS = 600;

  private final PeerSimulation simulation = new PeerSimulation(5, HOSTS, DOMAINS);

  @BeforeEach
  void join() {
    simulation.advance(4_000);
  }

  private void assertAllAlive(int hosts) {
    for (PeerSimulation.Host host : simulation.running()) {
      assertWithMessage("hosts that host %s knows", host.number)
          .that(host.members.alive(simulation.now()))
          .hasSize(hosts - 1);
    }
  }

  private PeerSimulation.Host anyNonDelegate() {
    return simulation.running().stream()
        .filter(host -> !host.topology.isDelegate())
        .findFirst()
        .get();
  }

  private List<Integer> delegates() {
    return simulation.running().stream()
        .filter(host -> host.topology.isDelegate())
        .map(host -> host.number)
        .toList();
  }

  private void assertChangeReachesAll(PeerSimulation.Host host) {
    host.configRevision++;
    host.heartbeats.changed();
    simulation.advance(PROPAGATION_MILLIS);
    for (PeerSimulation.Host other : simulation.running()) {
      assertWithMessage("revision at host %s", other.number)
          .that(other.configRevision)
          .isEqualTo(host.configRevision);
    }
  }

  @Nested
  class Idle {
    @Test
    void everyDomainHasTwoDelegatesOfWhichOneIsStrong() {
      assertAllAlive(HOSTS);
      assertThat(delegates()).hasSize(2 * DOMAINS);
      assertThat(delegates()).containsAtLeast(0, 1, 2, 3, 4, 5);
    }

    @Test
    void changeOfOneHostReachesAll() {
      assertChangeReachesAll(anyNonDelegate());
    }

    /**
     * Guards against some runners getting far more requests than others in a large fleet, because
     * the sums leave a failure domain out or count one twice. Hosts of different domains each send
     * two requests to one runner, and every host places a request at another runner.
     */
    @Test
    void loadsAreSummedOnceOverTheFleet() {
      for (PeerSimulation.Host host : simulation.running()) {
        host.loads.add(OTHER_RUNNER, 1, 0, 0, "");
        host.heartbeats.changed();
      }
      for (int host : List.of(1, 2, 3, 5)) {
        PeerSimulation.Host sender = simulation.running().get(host);
        sender.loads.add(RUNNER, 2, 100, 0, "m/a1");
        sender.heartbeats.changed();
      }
      simulation.advance(PROPAGATION_MILLIS);
      for (PeerSimulation.Host host : simulation.running()) {
        assertWithMessage("requests that host %s counts", host.number)
            .that(host.loads.requests(RUNNER, simulation.now()))
            .isEqualTo(8);
        assertThat(host.loads.unreadTokens(RUNNER, simulation.now())).isEqualTo(400);
      }
    }
  }

  @Nested
  class Failures {
    /**
     * Guards against the hosts of a failure domain considering the rest of the fleet dead. Both
     * delegates of each domain die at once, and hosts must not address dead delegates only.
     */
    @Test
    void deadDelegatesAreReplaced() {
      delegates().forEach(simulation::kill);
      simulation.advance(4_000);
      assertAllAlive(HOSTS - 2 * DOMAINS);
      assertChangeReachesAll(anyNonDelegate());
    }

    @Test
    void deadHostIsDetectedByAll() {
      simulation.kill(anyNonDelegate().number);
      simulation.advance(4_000);
      assertAllAlive(HOSTS - 1);
    }

    /**
     * Guards against two failure domains that consider each other dead forever after a network
     * partition. The halves of the fleet are disconnected for 10 s, then again for 25 s, after
     * which they have forgotten each other. If delegates addressed live delegates only, no host
     * would start.
     */
    @Test
    void halvesFindEachOtherAfterCuts() {
      for (long millis : new long[] {10_000, 25_000}) {
        simulation.cut((from, to) -> from % 2 != to % 2);
        simulation.advance(millis);
        simulation.cut((from, to) -> false);
        simulation.advance(5_000);
        assertAllAlive(HOSTS);
      }
    }

    @Test
    void allFindEachOtherAfterLossOfPower() {
      for (int host = 0; host < HOSTS; host++) {
        simulation.kill(host);
      }
      simulation.advance(1_400);
      for (int host = 0; host < HOSTS; host++) {
        simulation.start(host);
        simulation.advance(20);
      }
      simulation.advance(2_500);
      assertAllAlive(HOSTS);
      assertThat(delegates()).hasSize(2 * DOMAINS);
    }

    @Test
    void hostThatIsCutOffBecomesItsOwnDelegate() {
      PeerSimulation.Host alone = anyNonDelegate();
      simulation.cut((from, to) -> from == alone.number || to == alone.number);
      simulation.advance(4_000);
      assertThat(alone.topology.isDelegate()).isTrue();
      simulation.cut((from, to) -> false);
      simulation.advance(3_000);
      assertAllAlive(HOSTS);
      assertThat(alone.topology.isDelegate()).isFalse();
    }
  }
}
