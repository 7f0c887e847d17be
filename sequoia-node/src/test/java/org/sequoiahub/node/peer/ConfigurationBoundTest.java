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

  /** Guards against a host that relies on its lost watch though others know of a change. */
  @Test
  void leavingRunnerIsKnownWhereTheStoreIsSilent() {
    long seed = 1_028;
    RecordBounds bounds = new RecordBounds(new RecordWorld(seed, 2, DOMAINS), seed);
    bounds.pass(JOIN_MILLIS);
    bounds.play(new RecordTrouble(Kind.STORE_SILENT, 1, 2_141, 91));
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
        world.store.setFault(Fault.SILENT, host -> true);
        world.pass(outage);
        world.store.setFault(Fault.NONE, host -> false);
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
  class NumberAheadOfItsRecord {

    private static final int ADAPTERS = 80;

    /**
     * Guards against a host that tells a newer number than that of a record which it lacks: those
     * that take its records would never ask for that one.
     */
    @Test
    void recordThatFollowsLaterIsTakenToo() {
      RecordWorld world = new RecordWorld(1, 2, 2);
      for (int adapter = 0; adapter < ADAPTERS; adapter++) {
        world.store.putVersion(adapterName(adapter), 1);
      }
      world.pass(JOIN_MILLIS);
      world.kill(0);
      world.store.setFaults(host -> host == 0 ? Fault.SLOW : Fault.REFUSING);
      world.start(0);
      world.pass(100);
      // Between its two pages: the first lacks the configuration, the second has a later record.
      long version = world.configure();
      world.store.putVersion(adapterName(ADAPTERS - 1), 2);
      world.pass(JOIN_MILLIS);
      assertWithMessage("at the host that reads the store")
          .that(world.host(0).versionInForce())
          .isEqualTo(version);
      assertWithMessage("at the host that is turned away")
          .that(world.host(1).versionInForce())
          .isEqualTo(version);
    }

    private static String adapterName(int number) {
      return "b%02d".formatted(number);
    }
  }

  @Nested
  class Start {

    /** Guards against a host that begins with the configuration of one that is cut off. */
    @Test
    void oldConfigurationIsNotUsedWhileItMayBeOld() {
      RecordWorld world = new RecordWorld(3, 3, 3);
      world.pass(JOIN_MILLIS);
      world.store.setFault(Fault.REFUSING, host -> host > 0);
      world.cut((from, to) -> from == 0 || to == 0);
      world.pass(RecordWorld.BOUND_MILLIS);
      world.configure();
      world.pass(JOIN_MILLIS);
      world.kill(2);
      world.start(2);
      world.pass(1_000);
      assertWithMessage("version while it may be old")
          .that(world.host(2).versionInForce())
          .isEqualTo(-1);
      world.pass(RecordWorld.BOUND_MILLIS);
      assertWithMessage("version when no better one can be had")
          .that(world.host(2).versionInForce())
          .isEqualTo(1);
    }

    /** Guards against a host that does not serve because the store turns it away. */
    @Test
    void configurationOfHostsInTouchIsUsedAtOnce() {
      RecordWorld world = new RecordWorld(4, 3, 3);
      world.pass(JOIN_MILLIS);
      world.store.setFault(Fault.REFUSING, host -> host == 2);
      final long version = world.configure();
      world.kill(2);
      world.start(2);
      world.pass(1_000);
      assertWithMessage("version of the other hosts")
          .that(world.host(2).versionInForce())
          .isEqualTo(version);
      assertWithMessage("is ready").that(world.host(2).registry.isFilled()).isTrue();
    }
  }

  @Nested
  class Sizes {

    private static final int CALM_MILLIS = 3_000;

    private void playEach(int hosts, int forMillis, List<Kind> kinds) {
      RecordWorld world = new RecordWorld(hosts, hosts, 4);
      RecordBounds bounds = new RecordBounds(world, hosts);
      bounds.pass(2 * JOIN_MILLIS);
      long callsBefore = world.store.callCount();
      world.pass(CALM_MILLIS);
      System.out.printf(
          "calls to the store of a calm fleet of %d: %.1f a second%n",
          hosts, (world.store.callCount() - callsBefore) * 1_000.0 / CALM_MILLIS);
      for (Kind kind : kinds) {
        bounds.play(new RecordTrouble(kind, 4, forMillis, 500));
      }
      bounds.pass(RecordBounds.SETTLED_MILLIS);
      System.out.printf("configuration at %d hosts: %s%n", hosts, bounds.summary());
    }

    @Test
    void holdsAt7Hosts() {
      playEach(7, 3_000, List.of(Kind.values()));
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
