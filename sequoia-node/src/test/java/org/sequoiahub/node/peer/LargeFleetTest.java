package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A fleet of 40 hosts in 4 failure domains, in which delegates pass everything on. */
class LargeFleetTest {

  private static final int HOSTS = 40;
  private static final int DOMAINS = 4;
  private static final String RUNNER = "i-1";

  /** A change at a host (100 ms), two digests (150 ms each), one of them lost (150 ms). */
  private static final long NEWS_MILLIS = 600;

  private final PeerWorld world = new PeerWorld(5, HOSTS, DOMAINS);

  @BeforeEach
  void join() {
    world.pass(4_000);
  }

  private void everyoneIsAlive(int hosts) {
    for (PeerWorld.Host host : world.running()) {
      assertWithMessage("hosts that host %s knows", host.number)
          .that(host.members.alive(world.now()))
          .hasSize(hosts - 1);
    }
  }

  private PeerWorld.Host ordinary() {
    return world.running().stream().filter(host -> !host.shape.isDelegate()).findFirst().get();
  }

  private List<Integer> delegates() {
    return world.running().stream()
        .filter(host -> host.shape.isDelegate())
        .map(host -> host.number)
        .toList();
  }

  private void changeAt(PeerWorld.Host host) {
    host.configRevision++;
    host.heartbeats.changed();
    world.pass(NEWS_MILLIS);
    for (PeerWorld.Host other : world.running()) {
      assertWithMessage("revision at host %s", other.number)
          .that(other.configRevision)
          .isEqualTo(host.configRevision);
    }
  }

  @Nested
  class Calm {
    @Test
    void everyDomainHasTwoDelegatesOfWhichOneIsStrong() {
      everyoneIsAlive(HOSTS);
      assertThat(delegates()).hasSize(2 * DOMAINS);
      assertThat(delegates()).containsAtLeast(0, 1, 2, 3, 4, 5);
    }

    @Test
    void newsOfOneHostReachesAll() {
      changeAt(ordinary());
    }

    /**
     * Symptom: some runners get far more requests than others in a large fleet.
     *
     * <p>Events: three hosts of different domains each send two requests to one runner.
     *
     * <p>Cause looked for: sums that leave a domain out or count one twice.
     */
    @Test
    void loadsAreSummedOnceOverTheFleet() {
      for (int host : List.of(1, 2, 3, 5)) {
        PeerWorld.Host sender = world.running().get(host);
        sender.loads.add(RUNNER, 2, 100, 0, "m/a1");
        sender.heartbeats.changed();
      }
      world.pass(NEWS_MILLIS);
      for (PeerWorld.Host host : world.running()) {
        assertWithMessage("requests that host %s counts", host.number)
            .that(host.loads.requests(RUNNER, world.now()))
            .isEqualTo(8);
        assertThat(host.loads.unreadTokens(RUNNER, world.now())).isEqualTo(400);
      }
    }
  }

  @Nested
  class Failures {
    /**
     * Symptom: the hosts of a domain take the rest of the fleet for dead.
     *
     * <p>Events: both delegates of each domain die at once.
     *
     * <p>Cause looked for: hosts that speak to dead delegates only.
     */
    @Test
    void deadDelegatesAreReplaced() {
      delegates().forEach(world::kill);
      world.pass(4_000);
      everyoneIsAlive(HOSTS - 2 * DOMAINS);
      changeAt(ordinary());
    }

    @Test
    void deadHostIsNoticedByAll() {
      world.kill(ordinary().number);
      world.pass(4_000);
      everyoneIsAlive(HOSTS - 1);
    }

    /**
     * Symptom: after a cut between two domains each takes the other for dead for good.
     *
     * <p>Events: the halves of the fleet are cut off from each other for 10 s, then again for 25 s,
     * after which they have forgotten each other.
     *
     * <p>Cause: delegates that tell living delegates only; nobody is left to begin.
     */
    @Test
    void halvesFindEachOtherAfterCuts() {
      for (long millis : new long[] {10_000, 25_000}) {
        world.cut((from, to) -> from % 2 != to % 2);
        world.pass(millis);
        world.cut((from, to) -> false);
        world.pass(5_000);
        everyoneIsAlive(HOSTS);
      }
    }

    @Test
    void allFindEachOtherAfterLossOfPower() {
      for (int host = 0; host < HOSTS; host++) {
        world.kill(host);
      }
      world.pass(1_400);
      for (int host = 0; host < HOSTS; host++) {
        world.start(host);
        world.pass(20);
      }
      world.pass(2_500);
      everyoneIsAlive(HOSTS);
      assertThat(delegates()).hasSize(2 * DOMAINS);
    }

    @Test
    void hostThatIsCutOffBecomesItsOwnDelegate() {
      PeerWorld.Host alone = ordinary();
      world.cut((from, to) -> from == alone.number || to == alone.number);
      world.pass(4_000);
      assertThat(alone.shape.isDelegate()).isTrue();
      world.cut((from, to) -> false);
      world.pass(3_000);
      everyoneIsAlive(HOSTS);
      assertThat(alone.shape.isDelegate()).isFalse();
    }
  }
}
