package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Measures what the runners' limits add to the datagrams of a host, in virtual time. */
class RunnerLimitCostTest {

  private static final int RUNNERS = 8;
  private static final int JOIN_MILLIS = 10_000;
  private static final int MEASURED_MILLIS = 4_000;

  /** Returns the bytes that one host sends in a second. */
  private static long bytesPerSecond(int hosts, int limitedRunners, double load) {
    RunnerLimitSimulation simulation =
        new RunnerLimitSimulation(3, hosts, RUNNERS, RunnerLimitSimulation.PERMITS);
    simulation.offerLoad(JOIN_MILLIS, 0);
    for (int runner = 0; runner < limitedRunners; runner++) {
      simulation.state(runner, 1);
    }
    simulation.offerLoad(2_000, Math.max(load, 20));
    long before = simulation.peers.bytes();
    simulation.offerLoad(MEASURED_MILLIS, load);
    return (simulation.peers.bytes() - before) * 1_000 / MEASURED_MILLIS / hosts;
  }

  /** Guards against a cost of limits that grows with the square of the fleet. */
  @ParameterizedTest
  @ValueSource(ints = {7, 77})
  void growsWithTheLimitsOnly(int hosts) {
    long none = bytesPerSecond(hosts, 0, 20);
    long one = bytesPerSecond(hosts, 1, 20);
    long all = bytesPerSecond(hosts, RUNNERS, 20);
    System.out.printf(
        Locale.ROOT,
        "bytes/s a host, %d hosts: no limit %d, one %d, %d limits %d%n",
        hosts,
        none,
        one,
        RUNNERS,
        all);
    assertThat(one).isLessThan(none + none / 2 + 1_500);
    assertThat(all).isLessThan(none * 3 + 3_000);
  }
}
