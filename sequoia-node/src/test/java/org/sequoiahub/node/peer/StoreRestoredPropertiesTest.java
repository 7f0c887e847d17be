package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.sequoiahub.node.peer.RecordTrouble.Kind;

/**
 * Guards against changes that hosts drop or revert after the store came back from an older copy.
 */
class StoreRestoredPropertiesTest {

  private static final int DOMAINS = 3;

  /** Time before the first fault (ms): longer than the age of any copy. */
  private static final int JOIN_MILLIS = 10_000;

  private static final int SHORT_JOIN_MILLIS = 4_000;

  /** One datagram in this many is lost. */
  private static final int LOSS_ONE_IN = 20;

  @Provide
  Arbitrary<Integer> sizes() {
    return Arbitraries.integers().between(2, 9);
  }

  @Provide
  Arbitrary<List<RecordTrouble>> others() {
    return trouble(Arbitraries.of(RecordTrouble.WITHIN_ONE_ERA), 3_000, 3_000).list().ofMaxSize(3);
  }

  /** Two restores that follow each other within two seconds. */
  @Provide
  Arbitrary<List<RecordTrouble>> restores() {
    return trouble(Arbitraries.just(Kind.STORE_RESTORED), 9_000, 2_000).list().ofSize(2);
  }

  private static Arbitrary<RecordTrouble> trouble(
      Arbitrary<Kind> kinds, int maxForMillis, int maxPauseMillis) {
    return Combinators.combine(
            kinds,
            Arbitraries.integers().between(1, 10),
            Arbitraries.integers().between(200, maxForMillis),
            Arbitraries.integers().between(0, maxPauseMillis))
        .as(RecordTrouble::new);
  }

  private static RecordBoundsChecker joined(long seed, int hosts) {
    return joined(seed, hosts, JOIN_MILLIS);
  }

  private static RecordBoundsChecker joined(long seed, int hosts, int joinMillis) {
    RecordSimulation simulation = new RecordSimulation(seed, hosts, DOMAINS);
    simulation.peers.loseOneIn(LOSS_ONE_IN);
    RecordBoundsChecker bounds = new RecordBoundsChecker(simulation, seed);
    bounds.advance(joinMillis);
    return bounds;
  }

  @Property(tries = 15, seed = "20261227", shrinking = ShrinkingMode.OFF)
  void boundsHoldWhenFaultsFollowEachOther(
      @ForAll("restores") List<RecordTrouble> restores,
      @ForAll("others") List<RecordTrouble> others,
      @ForAll("sizes") int hosts,
      @ForAll long seed) {
    RecordBoundsChecker bounds = joined(seed, hosts);
    restores.forEach(bounds::inject);
    others.forEach(bounds::inject);
    bounds.inject(restores.get(0));
    bounds.advance(RecordBoundsChecker.SETTLED_MILLIS);
  }

  @Property(tries = 15, seed = "20261228", shrinking = ShrinkingMode.OFF)
  void boundsHoldWhenFaultsOverlap(
      @ForAll("restores") List<RecordTrouble> restores,
      @ForAll("others") List<RecordTrouble> others,
      @ForAll("sizes") int hosts,
      @ForAll long seed) {
    List<RecordTrouble> troubles = new ArrayList<>(restores);
    troubles.addAll(others);
    RecordBoundsChecker bounds = joined(seed, hosts);
    bounds.injectTogether(troubles);
    bounds.advance(RecordBoundsChecker.SETTLED_MILLIS);
  }

  @Property(tries = 5, seed = "20261229", shrinking = ShrinkingMode.OFF)
  void boundsHoldWhenTheStoreReturnsForHalfOfTheHosts(
      @ForAll("sizes") int hosts, @ForAll long seed) {
    RecordBoundsChecker bounds = joined(seed, hosts);
    bounds.injectTogether(
        List.of(
            new RecordTrouble(Kind.STORE_SILENT, 5, 3_000, 0),
            new RecordTrouble(Kind.STORE_RESTORED, 10, 6_000, 500)));
    bounds.advance(RecordBoundsChecker.SETTLED_MILLIS);
  }

  private static void injectTwoRestores(int hosts) {
    RecordBoundsChecker bounds = joined(hosts, hosts, SHORT_JOIN_MILLIS);
    bounds.injectTogether(
        List.of(
            new RecordTrouble(Kind.STORE_RESTORED, 10, 3_000, 0),
            new RecordTrouble(Kind.STORE_RESTORED, 10, 2_500, 1_000),
            new RecordTrouble(Kind.HOSTS_FREEZE, 2, 1_000, 300),
            new RecordTrouble(Kind.HOSTS_RESTART, 2, 800, 1_200)));
    bounds.advance(RecordBoundsChecker.SETTLED_MILLIS);
  }

  @Example
  void boundsHoldAt7Hosts() {
    injectTwoRestores(7);
  }

  @Example
  void boundsHoldAt77Hosts() {
    injectTwoRestores(77);
  }

  @Example
  void boundsHoldAt300Hosts() {
    injectTwoRestores(300);
  }
}
