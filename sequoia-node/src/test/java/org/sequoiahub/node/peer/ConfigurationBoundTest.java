package org.sequoiahub.node.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.node.peer.RecordTrouble.Kind;
import org.sequoiahub.usersplatform.standin.VirtualStore.Fault;

/** Each host that is in touch has a change in force in time, and none goes back in one life. */
class ConfigurationBoundTest {

  private static final int HOSTS = 7;
  private static final int DOMAINS = 3;
  private static final int JOIN_MILLIS = 4_000;

  @Provide
  Arbitrary<List<RecordTrouble>> troubles() {
    Arbitrary<RecordTrouble> trouble =
        Combinators.combine(
                Arbitraries.of(Kind.class),
                Arbitraries.integers().between(1, 10),
                Arbitraries.integers().between(200, 9_000),
                Arbitraries.integers().between(0, 3_000))
            .as(RecordTrouble::new);
    return trouble.list().ofMinSize(1).ofMaxSize(6);
  }

  @Property(tries = 60, seed = "20261214")
  void holdsUnderAnyTroubles(
      @ForAll("troubles") List<RecordTrouble> troubles,
      @ForAll("sizes") int hosts,
      @ForAll long seed) {
    RecordBounds bounds = new RecordBounds(new RecordWorld(seed, hosts, DOMAINS), seed);
    bounds.pass(JOIN_MILLIS);
    troubles.forEach(bounds::play);
    bounds.pass(RecordBounds.SETTLED_MILLIS);
  }

  @Provide
  Arbitrary<Integer> sizes() {
    return Arbitraries.integers().between(2, 9);
  }

  @Nested
  class StoreSilentForAll {

    /** Guards against a watch that the store lost and that hides later changes until it is late. */
    @Test
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
        for (PeerWorld.Host host : world.peers.running()) {
          assertWithMessage("version at host %s after an outage of %s ms", host.number, outage)
              .that(world.host(host.number).versionInForce())
              .isEqualTo(version);
        }
      }
    }
  }

  @Nested
  class LargeFleets {

    private void playEach(int hosts, int forMillis, List<Kind> kinds) {
      RecordBounds bounds = new RecordBounds(new RecordWorld(hosts, hosts, 4), hosts);
      bounds.pass(2 * JOIN_MILLIS);
      for (Kind kind : kinds) {
        bounds.play(new RecordTrouble(kind, 4, forMillis, 500));
      }
      bounds.pass(RecordBounds.SETTLED_MILLIS);
      System.out.printf("configuration at %d hosts: %s%n", hosts, bounds.summary());
    }

    @Test
    void holdsAt77Hosts() {
      playEach(77, 3_000, List.of(Kind.values()));
    }

    @Test
    void holdsAt300Hosts() {
      playEach(300, 1_500, List.of(Kind.HOSTS_CUT_ONE_WAY, Kind.STORE_SILENT));
    }
  }
}
