package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.holding.ResidentAdapter;

/** Counts what a host of a large fleet handles that places no requests, in virtual time. */
class StandbyHostTest {

  private static final int RUNNERS = 100;
  private static final int SERVING_HOSTS = 6;
  private static final long JOIN_MILLIS = 12_000;
  private static final int MEASURED_SECONDS = 5;

  /**
   * What a host may exchange with the others in a second: at 1 ms of a slow host's processor each,
   * the 0.02 of a core that a host without requests may use.
   */
  private static final int MAX_DATAGRAMS_PER_SECOND = 20;

  /** Returns a fleet in which six strong hosts serve and the others stand by. */
  private static PeerSimulation servingFleet(int hosts) {
    PeerSimulation simulation = new PeerSimulation(5, hosts, 4);
    simulation.advance(JOIN_MILLIS);
    serve(simulation, 1_000);
    return simulation;
  }

  /** Lets the strong hosts place requests, and load adapters, for a time. */
  private static void serve(PeerSimulation simulation, long millis) {
    for (long end = simulation.now() + millis; simulation.now() < end; ) {
      for (int number = 0; number < SERVING_HOSTS; number++) {
        PeerSimulation.Host host = running(simulation, number);
        for (int runner = number; runner < RUNNERS; runner += SERVING_HOSTS) {
          String adapter = "m/a" + simulation.now() / 100 % 7;
          host.loads.add("i-" + runner, 1, 0, 0, adapter);
          host.holdings.update("i-" + runner, holding(number, adapter, simulation.now()));
        }
        host.heartbeats.changed();
      }
      simulation.advance(100);
    }
  }

  private static Holdings.Holding holding(int host, String adapter, long nowMillis) {
    return new Holdings.Holding(
        "host-" + host,
        1,
        nowMillis,
        Map.of(adapter, new ResidentAdapter(adapter, 1, nowMillis)),
        Set.of("m"),
        1,
        250,
        0,
        0,
        0);
  }

  private static PeerSimulation.Host running(PeerSimulation simulation, int number) {
    return simulation.running().get(number);
  }

  /** Returns the hosts that are no delegates and place nothing. */
  private static List<PeerSimulation.Host> standby(PeerSimulation simulation) {
    return simulation.running().stream()
        .filter(host -> host.number >= SERVING_HOSTS && !host.topology.isDelegate())
        .toList();
  }

  /**
   * Guards against a cost of each host that follows the size of the fleet, and not its own work.
   */
  @Nested
  class WhileOthersServe {
    @ParameterizedTest
    @ValueSource(ints = {77, 300})
    void handlesNothingThatOnlyPlacementNeeds(int hosts) {
      PeerSimulation simulation = servingFleet(hosts);
      for (PeerSimulation.Host host : standby(simulation)) {
        PeerSimulation.Work before = simulation.work(host.number);
        serve(simulation, 400);
        assertWithMessage("loads and holdings received by host %s", host.number)
            .that(simulation.work(host.number).minus(before).placementEntries())
            .isEqualTo(0);
        if (host.number > SERVING_HOSTS + 20) {
          return;
        }
      }
    }

    @ParameterizedTest
    @ValueSource(ints = {77, 300})
    void exchangesFewDatagrams(int hosts) {
      PeerSimulation simulation = servingFleet(hosts);
      List<PeerSimulation.Host> standby = standby(simulation);
      List<PeerSimulation.Work> before =
          standby.stream().map(host -> simulation.work(host.number)).toList();
      serve(simulation, MEASURED_SECONDS * 1_000);
      long datagrams = 0;
      for (int i = 0; i < standby.size(); i++) {
        datagrams += simulation.work(standby.get(i).number).minus(before.get(i)).datagrams();
      }
      assertThat(datagrams / standby.size() / MEASURED_SECONDS).isAtMost(MAX_DATAGRAMS_PER_SECOND);
    }
  }

  /** Guards against requests that are placed blindly at a host that has stood by. */
  @Nested
  class WhenRequestsArrive {

    /** As long as two changes take through delegates. */
    private static final long MAX_DELAY_MILLIS = 400;

    @ParameterizedTest
    @ValueSource(ints = {77, 300})
    void learnsWhatPlacementNeeds(int hosts) {
      PeerSimulation simulation = servingFleet(hosts);
      PeerSimulation.Host host = standby(simulation).get(0);
      host.loads.add("i-0", 1, 0, 0, "");
      host.heartbeats.changed();
      serve(simulation, MAX_DELAY_MILLIS);
      int known = 0;
      for (int runner = 0; runner < RUNNERS; runner++) {
        known += host.holdings.find("i-" + runner).isPresent() ? 1 : 0;
      }
      assertThat(known).isEqualTo(RUNNERS);
      assertThat(host.loads.requests("i-7", simulation.now())).isGreaterThan(0);
    }
  }
}
