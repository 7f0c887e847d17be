package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.sequoiahub.usersplatform.standin.VirtualStore.Fault;

/** Each host that is in touch has a change in force in time. */
class ConfigurationBoundTest {

  private static final int HOSTS = 7;
  private static final int DOMAINS = 3;
  private static final int JOIN_MILLIS = 4_000;

  private static void allHave(RecordWorld world, long version, String when) {
    for (PeerWorld.Host host : world.peers.running()) {
      assertWithMessage("version at host %s %s", host.number, when)
          .that(world.host(host.number).versionInForce())
          .isEqualTo(version);
    }
  }

  @Nested
  class StoreSilentForAll {

    /** Guards against a watch that the store lost and that hides later changes until it is late. */
    @Test
    @Tag("known-red")
    void changeAfterItsReturnIsInForceInTime() {
      for (int outage = 3_000; outage <= 9_000; outage += 250) {
        RecordWorld world = new RecordWorld(outage, HOSTS, DOMAINS);
        world.pass(JOIN_MILLIS);
        world.store.fault(Fault.SILENT, host -> true);
        world.pass(outage);
        world.store.fault(Fault.NONE, host -> false);
        world.pass(1_000);
        long version = world.configure();
        world.pass(RecordWorld.BOUND_MILLIS);
        allHave(world, version, "after an outage of " + outage + " ms");
      }
    }
  }
}
