package org.sequoiahub.core.authority;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RenewalRoundTest {

  private static final long LEASE_MILLIS = 1_000;
  private static final long ROUND_TRIP_MILLIS = 5;

  private static List<Integer> hosts(int count) {
    return IntStream.range(0, count).boxed().toList();
  }

  @Property(tries = 300)
  void selectsMajorityWithoutDuplicates(
      @ForAll @IntRange(max = 300) int reachable,
      @ForAll @IntRange(min = 1, max = 300) int electorateSize,
      @ForAll @IntRange(max = 1_000_000) int round) {
    List<Integer> asked = RenewalRound.selectHosts(hosts(reachable), electorateSize, round);
    assertThat(new HashSet<>(asked)).hasSize(asked.size());
    if (asked.size() < reachable) {
      assertThat(2 * asked.size()).isGreaterThan(electorateSize);
    }
  }

  @Test
  void successiveRoundsCoverAllHosts() {
    Set<Integer> seen = new HashSet<>();
    for (int round = 0; round < 3; round++) {
      seen.addAll(RenewalRound.selectHosts(hosts(94), 95, round));
    }
    assertThat(seen).hasSize(94);
  }

  /**
   * Guards against a holder in a large fleet that loses its leases although no other host claims
   * them, so that its runners receive no orders for more than three seconds.
   *
   * <p>Claims and grants are lost, and a fifth of the hosts die at once. The failure occurs if a
   * renewal asks a subset of the hosts and the next round does not ask all of them after a failure.
   */
  @Property(tries = 60)
  void keepsLeaseDespitePacketLossAndDeadHosts(@ForAll long seed) {
    Random random = new Random(seed);
    int count = 95;
    LeasedAuthority authority = new LeasedAuthority(LEASE_MILLIS);
    authority.updateGranters(Set.copyOf(names(hosts(count))), 0);
    long round = 0;
    long firstHeldMillis = -1;
    for (long now = 0; now < 20_000; now += 10) {
      boolean fifthIsDead = now >= 10_000;
      if (authority.claimDue(now)) {
        List<Integer> reachable = hosts(count);
        List<Integer> asked =
            authority.lastRoundSucceeded()
                ? RenewalRound.selectHosts(reachable, count, round++)
                : reachable;
        authority.roundSent(now);
        for (int host : asked) {
          boolean dead = fifthIsDead && host % 5 == 0;
          if (!dead && random.nextDouble() > 0.04) {
            authority.claimGranted("h" + host, now, now + ROUND_TRIP_MILLIS);
          }
        }
      }
      boolean held = authority.rights(now + ROUND_TRIP_MILLIS).held();
      firstHeldMillis = held && firstHeldMillis < 0 ? now : firstHeldMillis;
      assertThat(firstHeldMillis < 0 || held).isTrue();
    }
    assertThat(firstHeldMillis).isAtLeast(0);
  }

  private static List<String> names(List<Integer> hosts) {
    return hosts.stream().map(host -> "h" + host).toList();
  }
}
