package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a workspace that is granted several times its allowance, or far less. It sends
 * requests to all hosts, each of which sees one every few seconds, while hosts are isolated, killed
 * and restarted.
 *
 * <p>The cause would be hosts that decide by their own part only. With equal shares, a 77th of an
 * allowance is one long prompt in 24 s, so nearly all allowed requests are refused. Without sums,
 * none is refused.
 */
class AllowanceTest {

  private static final int JOIN_MILLIS = 12_000;

  /** What a workspace usually requests, as a part of its limit. */
  private static final double USUAL_LOAD = 1 / 1.8;

  /** Seven and a half times the usual load, as a part of the limit. */
  private static final double OVERLOAD = 7.5 * USUAL_LOAD;

  private static AllowanceSimulation simulation(int hosts) {
    return simulation(7, hosts);
  }

  private static AllowanceSimulation simulation(long seed, int hosts) {
    AllowanceSimulation simulation =
        new AllowanceSimulation(seed, hosts, AllowanceSimulation.DELAYED_SUMS);
    simulation.peers.loseOneIn(20);
    simulation.offerLoad(JOIN_MILLIS, 0);
    return simulation;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 77})
  void usualLoadIsNotRefused(int hosts) {
    AllowanceSimulation simulation = simulation(hosts);
    simulation.countFromNow();
    simulation.offerLoad(30_000, USUAL_LOAD);
    assertThat(simulation.refusedShare()).isLessThan(0.01);
  }

  @ParameterizedTest
  @ValueSource(ints = {7, 77})
  void suddenLoadAtAllHostsStaysWithinTheBoundAndGetsItsAllowance(int hosts) {
    AllowanceSimulation simulation = simulation(hosts);
    simulation.offerLoad(10_000, USUAL_LOAD);
    simulation.countAllFromNow();
    simulation.offerLoad(15_000, OVERLOAD);
    assertThat(simulation.worstWindow()).isAtMost(1.0);
    assertThat(simulation.grantedShare()).isGreaterThan(0.95);
  }

  @ParameterizedTest
  @ValueSource(ints = {7, 77})
  void suddenLoadAtOneHostStaysWithinTheBoundAndGetsItsAllowance(int hosts) {
    AllowanceSimulation simulation = simulation(hosts);
    simulation.offerLoad(10_000, USUAL_LOAD);
    simulation.countAllFromNow();
    simulation.offerLoad(15_000, OVERLOAD, hosts - 1);
    assertThat(simulation.worstWindow()).isAtMost(1.0);
    assertThat(simulation.grantedShare()).isGreaterThan(0.95);
  }

  @Nested
  class Cuts {
    /** Two parts that each grant the whole limit would grant it twice. */
    @ParameterizedTest
    @ValueSource(ints = {7, 77})
    void disconnectedPartsStayWithinTheBoundTogether(int hosts) {
      AllowanceSimulation simulation = simulation(hosts);
      simulation.offerLoad(10_000, USUAL_LOAD);
      simulation.peers.cut((from, to) -> from % 2 != to % 2);
      simulation.offerLoad(1_500, USUAL_LOAD);
      simulation.countAllFromNow();
      simulation.offerLoad(8_000, OVERLOAD);
      assertThat(simulation.worstWindow()).isAtMost(1.0);
    }

    /** A third of the hosts receive nothing from any other host. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 7})
    void isolatedHostsStayWithinTheBoundTogether(long seed) {
      AllowanceSimulation simulation = simulation(seed, 77);
      simulation.offerLoad(10_000, USUAL_LOAD);
      simulation.peers.cut((from, to) -> from % 3 == 0 || to % 3 == 0);
      simulation.offerLoad(1_500, USUAL_LOAD);
      simulation.countAllFromNow();
      simulation.offerLoad(8_000, OVERLOAD);
      assertThat(simulation.worstWindow()).isAtMost(1.0);
    }

    @Test
    void usualLoadIsMostlyServedDuringCuts() {
      AllowanceSimulation simulation = simulation(77);
      simulation.offerLoad(10_000, USUAL_LOAD);
      simulation.peers.cut((from, to) -> from % 2 != to % 2);
      simulation.countFromNow();
      simulation.offerLoad(8_000, USUAL_LOAD);
      assertThat(simulation.refusedShare()).isLessThan(0.2);
    }
  }

  @Nested
  class Restarts {
    /** Their part of the window's sum is lost with them. */
    @Test
    void halfOfTheHostsRestartUnderLoad() {
      AllowanceSimulation simulation = simulation(77);
      simulation.offerLoad(10_000, USUAL_LOAD);
      simulation.countAllFromNow();
      simulation.offerLoad(4_000, OVERLOAD);
      for (int number = 0; number < 77; number += 2) {
        simulation.peers.kill(number);
      }
      simulation.offerLoad(1_500, OVERLOAD);
      for (int number = 0; number < 77; number += 2) {
        simulation.restart(number);
      }
      simulation.offerLoad(10_000, OVERLOAD);
      assertThat(simulation.worstWindow()).isAtMost(1.0);
      assertThat(simulation.grantedShare()).isGreaterThan(0.7);
    }

    /** No host remembers the window, which must not be granted a second time. */
    @ParameterizedTest
    @ValueSource(ints = {7, 77})
    void allHostsRestartUnderLoad(int hosts) {
      AllowanceSimulation simulation = simulation(hosts);
      simulation.offerLoad(10_000, USUAL_LOAD);
      simulation.countAllFromNow();
      simulation.offerLoad(4_000, OVERLOAD);
      for (int number = 0; number < hosts; number++) {
        simulation.peers.kill(number);
      }
      simulation.peers.advance(700);
      for (int number = 0; number < hosts; number++) {
        simulation.restart(number);
      }
      simulation.offerLoad(10_000, OVERLOAD);
      assertThat(simulation.worstWindow()).isAtMost(1.0);
    }
  }

  /** A lowered limit is in force one window after it is known. */
  @Test
  void loweredLimitHolds() {
    AllowanceSimulation simulation = simulation(77);
    simulation.offerLoad(10_000, USUAL_LOAD);
    simulation.setLimit(AllowanceSimulation.LIMIT_PER_SECOND / 4);
    simulation.countFromNow();
    simulation.offerLoad(20_000, USUAL_LOAD);
    assertThat(simulation.worstWindow()).isAtMost(1.0);
    assertThat(simulation.grantedShare()).isGreaterThan(0.95);
  }
}
