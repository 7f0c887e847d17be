package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.member.MemberSettings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.node.SimulatedHosts;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.HostSettings;

class CallerAddressesTest {

  private static final int STRONG = 150;
  private static final int WEAK = 36;
  private static final int DOMAINS = 4;
  private static final long NOW = 100_000;

  private final Members<HostState> members = new Members<>("host-0", MemberSettings.DEFAULT);
  private final FleetTopology topology = new FleetTopology(settings(), members);
  private final CallerAddresses addresses = new CallerAddresses(settings(), members, topology);

  private static HostSettings settings() {
    return SimulatedHosts.settings("host-0", "z0", "ip-0", List.of("ip-1"), true, WEAK);
  }

  /** Reports the states of hosts 1 to {@code count}, the first eight of which are strong. */
  private void reportStates(int count, int requestsPerSecond, boolean ready, long nowMillis) {
    for (int number = 1; number <= count; number++) {
      HostState state =
          HostState.newBuilder()
              .setIp("ip-" + number)
              .setFailureDomain("z" + number % DOMAINS)
              .setCallerAddress("ip-" + number + ":1")
              .setProcessor(number <= 8 ? STRONG : WEAK)
              .setReady(ready)
              .setRequestsPerSecond(requestsPerSecond)
              .build();
      members.receive("host-" + number, "ip-" + number, 1, nowMillis, false, state, nowMillis);
    }
    topology.refresh(nowMillis);
  }

  @Nested
  class SmallFleets {

    @Test
    void advertiseAllHosts() {
      reportStates(6, 0, true, NOW);
      assertThat(addresses.advertised(true, false, NOW)).hasSize(7);
      assertThat(addresses.advertised(false, false, NOW)).hasSize(6);
    }
  }

  @Nested
  class LargeFleets {

    @Test
    void advertiseTheStrongest() {
      reportStates(76, 2, true, NOW);
      assertThat(addresses.advertised(true, false, NOW)).hasSize(8);
      assertThat(addresses.advertised(true, false, NOW)).doesNotContain(addresses.ownAddress());
    }

    @Test
    void advertiseMoreUnderHigherDemand() {
      reportStates(76, 40, true, NOW);
      assertThat(addresses.advertised(true, false, NOW)).hasSize(64);
    }

    /** After the loss of all hosts, each knows only itself for a while. */
    @Test
    void advertiseThisHostWhenNoOtherIsReady() {
      reportStates(76, 2, false, NOW);
      assertThat(addresses.advertised(true, false, NOW)).containsExactly(addresses.ownAddress());
    }

    @Test
    void advertiseWeakHostsOnceTheStrongAreSilent() {
      reportStates(76, 2, true, NOW);
      long later = NOW + 15_000;
      for (int number = 9; number <= 76; number++) {
        HostState state = requireNonNull(members.find("host-" + number).orElseThrow().state());
        members.receive("host-" + number, "ip-" + number, 1, later, false, state, later);
      }
      topology.refresh(later);
      List<String> named = addresses.advertised(true, false, later);
      for (int number = 1; number <= 8; number++) {
        assertThat(named).doesNotContain("ip-" + number + ":1");
      }
      assertThat(named.size()).isAtLeast(8);
    }
  }
}
