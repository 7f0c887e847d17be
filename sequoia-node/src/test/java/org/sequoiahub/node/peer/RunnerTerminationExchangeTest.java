package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a host that keeps sending a request that terminates runners after the other hosts
 * have quarantined it. Three runners terminate while processing it for three hosts, while the fleet
 * loses datagrams, delegates or the links of a failure domain, or while hosts start. The cause
 * would be changes that are sent only once, or only by hosts that have died.
 *
 * <p>The bound is the users': 3 s after the third termination, all connected hosts quarantine the
 * request. One datagram in a hundred is lost.
 */
class RunnerTerminationExchangeTest {

  private static final long REQUEST = 77;
  private static final long BOUND_MILLIS = 3_000;

  /** A host that has just started must quarantine the request within this time (ms). */
  private static final long JOIN_BOUND_MILLIS = 1_000;

  private static PeerSimulation joined(long seed, int hosts) {
    PeerSimulation simulation = new PeerSimulation(seed, hosts, 4);
    simulation.advance(hosts > 16 ? 4_000 : 2_000);
    return simulation;
  }

  /** Terminates three runners, one after another, at the given hosts in turn. */
  private static void threeTerminations(PeerSimulation simulation, List<PeerSimulation.Host> at) {
    for (int i = 0; i < 3; i++) {
      simulation.advance(400);
      long now = simulation.now();
      at.get(i % at.size()).runnerTerminated(REQUEST, 100 + i, now - 60, now);
    }
  }

  private static List<PeerSimulation.Host> nonDelegates(PeerSimulation simulation) {
    return simulation.running().stream().filter(host -> !host.topology.isDelegate()).toList();
  }

  private static void assertQuarantinedEverywhere(PeerSimulation simulation) {
    for (PeerSimulation.Host host : simulation.running()) {
      assertWithMessage("host %s quarantines the request", host.number)
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
          PeerSimulation simulation = joined(seed, hosts);
          threeTerminations(simulation, nonDelegates(simulation));
          simulation.advance(BOUND_MILLIS);
          assertQuarantinedEverywhere(simulation);
        }
      }
    }

    @Test
    void reachesAllWhenBothDelegatesOfTheGroupDie() {
      for (long seed = 1; seed <= 10; seed++) {
        PeerSimulation simulation = joined(seed, 40);
        PeerSimulation.Host witness = nonDelegates(simulation).get(0);
        threeTerminations(simulation, List.of(witness));
        for (PeerSimulation.Host host : simulation.running()) {
          if (host.topology.isDelegate() && witness.topology.isInOwnGroup("host-" + host.number)) {
            simulation.kill(host.number);
          }
        }
        simulation.advance(BOUND_MILLIS);
        assertQuarantinedEverywhere(simulation);
      }
    }

    @Test
    void successfulResponseReachesAll() {
      for (int hosts : new int[] {7, 40}) {
        PeerSimulation simulation = joined(3, hosts);
        threeTerminations(simulation, nonDelegates(simulation));
        simulation.advance(BOUND_MILLIS);
        nonDelegates(simulation).get(1).requestSucceeded(REQUEST);
        simulation.advance(BOUND_MILLIS);
        for (PeerSimulation.Host host : simulation.running()) {
          assertThat(host.isQuarantined(REQUEST)).isFalse();
        }
      }
    }

    /** Guards against a request that is rejected although it was served after each termination. */
    @Test
    void successThatPrecedesTheNewsOfTheTerminationReachesAll() {
      for (int size : new int[] {4, 7, 40}) {
        for (long seed = 1; seed <= 20; seed++) {
          PeerSimulation simulation = joined(seed, size);
          List<PeerSimulation.Host> hosts = simulation.running();
          for (int i = 0; i < 3; i++) {
            long started = simulation.now();
            simulation.advanceOneMilli();
            hosts.get(i).runnerTerminated(REQUEST, 100 + i, started, simulation.now());
            simulation.advanceOneMilli();
            hosts.get(i + 1).requestSucceeded(REQUEST);
          }
          simulation.advance(BOUND_MILLIS);
          for (PeerSimulation.Host host : hosts) {
            assertWithMessage("host %s of %s quarantines it, seed %s", host.number, size, seed)
                .that(host.isQuarantined(REQUEST))
                .isFalse();
          }
        }
      }
    }
  }

  /** Guards against terminations in sequence that count once, as some reports of them are late. */
  @Nested
  class LateReports {
    /** Time until the caller has the failure and its next request has arrived (ms). */
    private static final long CALLER_ROUND_TRIP_MILLIS = 20;

    @Test
    void terminationsInCloseSequenceAllCount() {
      for (int hosts : new int[] {3, 7, 40}) {
        for (long seed = 1; seed <= 20; seed++) {
          PeerSimulation simulation = joined(seed, hosts);
          simulation.delayOneIn(5, 300);
          for (int i = 0; i < 3; i++) {
            simulation.advance(CALLER_ROUND_TRIP_MILLIS);
            long started = simulation.now();
            simulation.advance(60);
            simulation
                .running()
                .get(i)
                .runnerTerminated(REQUEST, 100 + i, started, simulation.now());
          }
          simulation.advance(BOUND_MILLIS);
          assertQuarantinedEverywhere(simulation);
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
          PeerSimulation simulation = joined(seed, hosts);
          threeTerminations(simulation, nonDelegates(simulation));
          simulation.advance(30_000);
          simulation.kill(hosts - 1);
          simulation.advance(1_500);
          simulation.start(hosts - 1);
          simulation.advance(JOIN_BOUND_MILLIS);
          assertQuarantinedEverywhere(simulation);
        }
      }
    }

    @Test
    void isolatedDomainIsInformedOnReconnection() {
      for (int hosts : new int[] {7, 40}) {
        for (long seed = 1; seed <= 10; seed++) {
          PeerSimulation simulation = joined(seed, hosts);
          simulation.cut((from, to) -> (from % 4 == 0) != (to % 4 == 0));
          simulation.advance(1_000);
          threeTerminations(
              simulation,
              nonDelegates(simulation).stream().filter(host -> host.number % 4 == 1).toList());
          simulation.advance(10_000);
          simulation.cut((from, to) -> false);
          simulation.advance(BOUND_MILLIS);
          assertQuarantinedEverywhere(simulation);
        }
      }
    }

    /** All hosts but one lose what they remember. */
    @Test
    void soleSurvivorInformsAllOthers() {
      PeerSimulation simulation = joined(4, 7);
      threeTerminations(simulation, simulation.running());
      simulation.advance(BOUND_MILLIS);
      for (int host = 1; host < 7; host++) {
        simulation.kill(host);
      }
      simulation.advance(1_000);
      for (int host = 1; host < 7; host++) {
        simulation.start(host);
      }
      simulation.advance(JOIN_BOUND_MILLIS);
      assertQuarantinedEverywhere(simulation);
    }
  }

  /** The bytes that a host sends: none while nothing is quarantined, and few otherwise. */
  @Nested
  class Cost {
    private static final int MEASURED_MILLIS = 10_000;

    private long bytesPerSecond(PeerSimulation simulation) {
      long before = simulation.bytes();
      simulation.advance(MEASURED_MILLIS);
      return (simulation.bytes() - before) * 1_000 / MEASURED_MILLIS / simulation.running().size();
    }

    /** The bound is a tenth of the 3 KB/s that a host may spend on control traffic. */
    @Test
    void quarantinedRequestCostsLittle() {
      for (int hosts : new int[] {7, 95}) {
        PeerSimulation idle = joined(6, hosts);
        idle.advance(10_000);
        PeerSimulation holding = joined(6, hosts);
        threeTerminations(holding, nonDelegates(holding));
        holding.advance(8_800);
        long more = bytesPerSecond(holding) - bytesPerSecond(idle);
        assertWithMessage("bytes/s a host more, of %s", hosts).that(more).isAtMost(300);
      }
    }

    /**
     * On the loss of a failure domain, 1,500 requests lose their runner at one host within a
     * second. The traffic is bounded to 512 items in datagrams of 32, 20 ms apart. The request with
     * three terminations must still become known everywhere.
     */
    @Test
    void lossOfDomainDoesNotDisplaceQuarantinedRequests() {
      PeerSimulation simulation = joined(7, 7);
      PeerSimulation.Host witness = simulation.running().get(2);
      threeTerminations(simulation, List.of(witness));
      for (int i = 0; i < 1_500; i++) {
        witness.runnerTerminated(1_000 + i, i % 10, simulation.now() - 500, simulation.now());
      }
      simulation.advance(BOUND_MILLIS);
      assertQuarantinedEverywhere(simulation);
    }
  }
}
