package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Symptom: one host goes on sending a request that ends runners after the others hold it back.
 *
 * <p>Events: three runners end under it at three hosts while the fleet loses datagrams, delegates,
 * a failure domain's links, or while hosts start.
 *
 * <p>Cause looked for: news that is told once, or by hosts that are gone.
 *
 * <p>The aim is the users' bound: 3 s after the third end all hosts in touch hold it back. One
 * datagram in a hundred is lost.
 */
class RunnerTerminationExchangeTest {

  private static final long REQUEST = 77;
  private static final long BOUND_MILLIS = 3_000;

  /** A host that has just started, or come back, is to know it this soon (ms). */
  private static final long JOIN_BOUND_MILLIS = 1_000;

  private static PeerSimulation joined(long seed, int hosts) {
    PeerSimulation world = new PeerSimulation(seed, hosts, 4);
    world.advance(hosts > 16 ? 4_000 : 2_000);
    return world;
  }

  /** Three ends, each at another host. */
  private static void threeTerminations(PeerSimulation world, List<PeerSimulation.Host> at) {
    for (int i = 0; i < 3; i++) {
      world.advance(400);
      long now = world.now();
      at.get(i % at.size()).runnerTerminated(REQUEST, 100 + i, now - 60, now);
    }
  }

  private static List<PeerSimulation.Host> nonDelegates(PeerSimulation world) {
    return world.running().stream().filter(host -> !host.topology.isDelegate()).toList();
  }

  private static void assertQuarantinedEverywhere(PeerSimulation world) {
    for (PeerSimulation.Host host : world.running()) {
      assertWithMessage("host %s holds it back", host.number)
          .that(host.isQuarantined(REQUEST))
          .isTrue();
    }
  }

  @Nested
  class Propagation {
    @Test
    void reachesAllHostsOfAnySize() {
      for (int hosts : new int[] {2, 7, 16, 17, 40, 95}) {
        for (long seed = 1; seed <= 5; seed++) {
          PeerSimulation world = joined(seed, hosts);
          threeTerminations(world, nonDelegates(world));
          world.advance(BOUND_MILLIS);
          assertQuarantinedEverywhere(world);
        }
      }
    }

    @Test
    void reachesAllWhenBothDelegatesOfTheGroupDie() {
      for (long seed = 1; seed <= 10; seed++) {
        PeerSimulation world = joined(seed, 40);
        PeerSimulation.Host witness = nonDelegates(world).get(0);
        threeTerminations(world, List.of(witness));
        for (PeerSimulation.Host host : world.running()) {
          if (host.topology.isDelegate() && witness.topology.isInOwnGroup("host-" + host.number)) {
            world.kill(host.number);
          }
        }
        world.advance(BOUND_MILLIS);
        assertQuarantinedEverywhere(world);
      }
    }

    @Test
    void successfulResponseReachesAll() {
      for (int hosts : new int[] {7, 40}) {
        PeerSimulation world = joined(3, hosts);
        threeTerminations(world, nonDelegates(world));
        world.advance(BOUND_MILLIS);
        nonDelegates(world).get(1).requestSucceeded(REQUEST);
        world.advance(BOUND_MILLIS);
        for (PeerSimulation.Host host : world.running()) {
          assertThat(host.isQuarantined(REQUEST)).isFalse();
        }
      }
    }
  }

  @Nested
  class LateHosts {
    @Test
    void startedHostIsInformedAtOnce() {
      for (int hosts : new int[] {7, 40}) {
        for (long seed = 1; seed <= 10; seed++) {
          PeerSimulation world = joined(seed, hosts);
          threeTerminations(world, nonDelegates(world));
          world.advance(30_000);
          world.kill(hosts - 1);
          world.advance(1_500);
          world.start(hosts - 1);
          world.advance(JOIN_BOUND_MILLIS);
          assertQuarantinedEverywhere(world);
        }
      }
    }

    @Test
    void isolatedDomainIsInformedOnReconnection() {
      for (int hosts : new int[] {7, 40}) {
        for (long seed = 1; seed <= 10; seed++) {
          PeerSimulation world = joined(seed, hosts);
          world.cut((from, to) -> (from % 4 == 0) != (to % 4 == 0));
          world.advance(1_000);
          threeTerminations(world, nonDelegates(world).stream().filter(host -> host.number % 4 == 1).toList());
          world.advance(10_000);
          world.cut((from, to) -> false);
          world.advance(BOUND_MILLIS);
          assertQuarantinedEverywhere(world);
        }
      }
    }

    /** Whoever remembers is lost with all hosts but one. */
    @Test
    void soleSurvivorInformsAllOthers() {
      PeerSimulation world = joined(4, 7);
      threeTerminations(world, world.running());
      world.advance(BOUND_MILLIS);
      for (int host = 1; host < 7; host++) {
        world.kill(host);
      }
      world.advance(1_000);
      for (int host = 1; host < 7; host++) {
        world.start(host);
      }
      world.advance(JOIN_BOUND_MILLIS);
      assertQuarantinedEverywhere(world);
    }
  }

  /** What a host sends: nothing while nothing is held back; little for what is. */
  @Nested
  class Cost {
    private static final int MEASURED_MILLIS = 10_000;

    private long bytesPerSecond(PeerSimulation world) {
      long before = world.bytes();
      world.advance(MEASURED_MILLIS);
      return (world.bytes() - before) * 1_000 / MEASURED_MILLIS / world.running().size();
    }

    /** The aim: a tenth of the 3 KB/s that a host may spend on control. */
    @Test
    void quarantinedRequestCostsLittle() {
      for (int hosts : new int[] {7, 95}) {
        PeerSimulation calm = joined(6, hosts);
        calm.advance(10_000);
        PeerSimulation holding = joined(6, hosts);
        threeTerminations(holding, nonDelegates(holding));
        holding.advance(8_800);
        long more = bytesPerSecond(holding) - bytesPerSecond(calm);
        assertWithMessage("bytes/s a host more, of %s", hosts).that(more).isAtMost(300);
      }
    }

    /**
     * The loss of a failure domain: 1,500 requests lose their runner at one host within a second.
     * What goes out is bounded, 512 items in datagrams of 32, 20 ms apart; the request under which
     * three runners ended is known everywhere all the same.
     */
    @Test
    void lossOfDomainDoesNotDisplaceQuarantinedRequests() {
      PeerSimulation world = joined(7, 7);
      PeerSimulation.Host witness = world.running().get(2);
      threeTerminations(world, List.of(witness));
      for (int i = 0; i < 1_500; i++) {
        witness.runnerTerminated(1_000 + i, i % 10, world.now() - 500, world.now());
      }
      world.advance(BOUND_MILLIS);
      assertQuarantinedEverywhere(world);
    }
  }
}
