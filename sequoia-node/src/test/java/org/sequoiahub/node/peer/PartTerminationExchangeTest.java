package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hosts that send a prompt part on while others know that it ends runners. */
class PartTerminationExchangeTest {

  private static final long BAD = -1L << Integer.SIZE;
  private static final long COMMON = -2L << Integer.SIZE;

  /** The users' bound: time from the fifth termination until no host sends the part (ms). */
  private static final long BOUND_MILLIS = 3_000;

  private static final int LOSS_ONE_IN = 20;
  private static final int TERMINATIONS = 5;
  private static final int IN_FLIGHT = 8;

  private final Random random = new Random(1);
  private long lastRequest = 1;
  private long lastRunner;

  private static PeerSimulation joined(long seed, int hosts) {
    PeerSimulation simulation = new PeerSimulation(seed, hosts, 4);
    simulation.loseOneIn(LOSS_ONE_IN);
    simulation.advance(hosts > 16 ? 4_000 : 2_000);
    return simulation;
  }

  /** Terminates runners with requests of several hosts in flight, one of them with the part. */
  private void terminateRunners(PeerSimulation simulation, List<PeerSimulation.Host> witnesses) {
    for (int i = 0; i < TERMINATIONS; i++) {
      simulation.advance(300);
      long now = simulation.now();
      lastRunner++;
      for (int request = 0; request < IN_FLIGHT; request++) {
        long other = -10L - random.nextInt(40) << Integer.SIZE;
        witnesses
            .get(random.nextInt(witnesses.size()))
            .runnerTerminatedByPart(
                ++lastRequest << Integer.SIZE,
                lastRunner,
                now - 60,
                now,
                List.of(COMMON, request == 0 ? BAD : other));
      }
    }
  }

  private static void assertHeldEverywhere(PeerSimulation simulation) {
    for (PeerSimulation.Host host : simulation.running()) {
      assertWithMessage("host %s holds the part", host.number)
          .that(host.isPartQuarantined(BAD))
          .isTrue();
      assertWithMessage("host %s sends sound requests", host.number)
          .that(host.isPartQuarantined(COMMON))
          .isFalse();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 7, 77, 300})
  void allHostsHoldThePart(int hosts) {
    for (long seed = 1; seed <= (hosts > 16 ? 2 : 10); seed++) {
      PeerSimulation simulation = joined(seed, hosts);
      terminateRunners(simulation, simulation.running());
      simulation.advance(BOUND_MILLIS);
      assertHeldEverywhere(simulation);
    }
  }

  /** A host that is in touch has run for the bound, or been reachable for it, before it sends. */
  @ParameterizedTest
  @ValueSource(ints = {7, 77})
  void hostsThatWereAwayHoldThePart(int hosts) {
    for (long seed = 1; seed <= 5; seed++) {
      PeerSimulation simulation = joined(seed, hosts);
      int frozen = 1;
      int killed = 2;
      int cut = 3;
      simulation.freeze(frozen, simulation.now() + 4_000);
      simulation.kill(killed);
      simulation.cut((from, to) -> (from == cut) != (to == cut));
      List<PeerSimulation.Host> witnesses = new ArrayList<>(simulation.running());
      witnesses.removeIf(host -> host.number == frozen || host.number == cut);
      terminateRunners(simulation, witnesses);
      simulation.advance(3_000);
      simulation.cut((from, to) -> false);
      simulation.start(killed);
      simulation.advance(BOUND_MILLIS);
      assertHeldEverywhere(simulation);
    }
  }

  @Test
  void hostThatStartsLaterHoldsThePart() {
    PeerSimulation simulation = joined(3, 7);
    terminateRunners(simulation, simulation.running());
    simulation.advance(10_000);
    simulation.kill(6);
    simulation.advance(1_500);
    simulation.start(6);
    simulation.advance(1_000);
    assertHeldEverywhere(simulation);
  }

  /** Guards against a trial by each host when a quarantine ends. */
  @ParameterizedTest
  @ValueSource(ints = {1, 7, 77})
  void oneHostIsElectedForTheTrial(int hosts) {
    PeerSimulation simulation = joined(4, hosts);
    for (long part = 1; part <= 20; part++) {
      long key = part;
      assertWithMessage("hosts that try part %s", part)
          .that(
              simulation.running().stream()
                  .filter(host -> host.topology.isElected(key, simulation.now()))
                  .count())
          .isEqualTo(1);
    }
  }

  /** The bound is a tenth of the 3 KB/s that a host may spend on control traffic. */
  @Test
  void heldPartCostsLittle() {
    for (int hosts : new int[] {7, 77}) {
      PeerSimulation idle = joined(6, hosts);
      PeerSimulation holding = joined(6, hosts);
      terminateRunners(holding, holding.running());
      idle.advance(holding.now() - idle.now() + 10_000);
      holding.advance(10_000);
      long before = holding.bytes() - idle.bytes();
      idle.advance(10_000);
      holding.advance(10_000);
      long perSecond = (holding.bytes() - idle.bytes() - before) / 10 / hosts;
      assertWithMessage("bytes/s a host more, of %s", hosts).that(perSecond).isAtMost(300);
    }
  }

  /** Guards against a message to all hosts from each one that was served with a common part. */
  @ParameterizedTest
  @ValueSource(ints = {7, 77})
  void successesWithCommonPartCostLittle(int hosts) {
    PeerSimulation idle = joined(6, hosts);
    PeerSimulation serving = joined(6, hosts);
    long before = serving.bytes() - idle.bytes();
    for (int second = 0; second < 10; second++) {
      List<PeerSimulation.Host> running = serving.running();
      long now = serving.now();
      running
          .get(second % hosts)
          .runnerTerminatedByPart(
              ++lastRequest << Integer.SIZE, ++lastRunner, now - 60, now, List.of(COMMON));
      for (int period = 0; period < 20; period++) {
        serving.advance(50);
        running.forEach(host -> host.requestSucceeded(COMMON));
      }
    }
    idle.advance(10_000);
    long perSecond = (serving.bytes() - idle.bytes() - before) / 10 / hosts;
    assertWithMessage("bytes/s a host more, of %s", hosts).that(perSecond).isAtMost(600);
  }
}
