package org.sequoiahub.core.authority;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.authority.LeaseCommittee.Candidate;

class LeaseCommitteeTest {

  private static final long LEASE_MILLIS = 1_000;
  private static final long ROUND_TRIP_MILLIS = 5;

  private static List<Candidate> candidates(int count, int domains) {
    List<Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      candidates.add(new Candidate("h" + i, "z" + i % domains, i % 7 == 0 ? 150 : 36));
    }
    return candidates;
  }

  @Nested
  class Selection {
    @Property(tries = 300)
    void isOfTheGivenSize(
        @ForAll @IntRange(max = 300) int count, @ForAll @IntRange(min = 1, max = 9) int domains) {
      assertThat(LeaseCommittee.select(candidates(count, domains), LeaseCommittee.SIZE))
          .hasSize(Math.min(count, LeaseCommittee.SIZE));
    }

    @Property(tries = 300)
    void doesNotDependOnTheOrder(
        @ForAll @IntRange(min = 1, max = 300) int count, @ForAll long seed) {
      List<Candidate> shuffled = new ArrayList<>(candidates(count, 4));
      Collections.shuffle(shuffled, new Random(seed));
      assertThat(LeaseCommittee.select(shuffled, LeaseCommittee.SIZE))
          .isEqualTo(LeaseCommittee.select(candidates(count, 4), LeaseCommittee.SIZE));
    }

    /**
     * A host that only one of two holders knows replaces one member, and two majorities still meet.
     */
    @Property(tries = 500)
    void differsInOneHostIfTheKnownHostsDo(
        @ForAll @IntRange(min = 13, max = 300) int count,
        @ForAll @IntRange(max = 299) int unknown) {
      List<Candidate> all = candidates(count, 4);
      List<Candidate> others = new ArrayList<>(all);
      others.remove(unknown % count);
      Set<String> common = new HashSet<>(LeaseCommittee.select(all, LeaseCommittee.SIZE));
      common.retainAll(LeaseCommittee.select(others, LeaseCommittee.SIZE));
      assertThat(common.size()).isAtLeast(LeaseCommittee.SIZE - 1);
    }

    @Test
    void leavesMajorityIfOneOfThreeDomainsFails() {
      Set<String> selected = LeaseCommittee.select(candidates(83, 3), LeaseCommittee.SIZE);
      for (int domain = 0; domain < 3; domain++) {
        int failed = domain;
        long left =
            selected.stream().filter(h -> Integer.parseInt(h.substring(1)) % 3 != failed).count();
        assertThat(2 * left).isGreaterThan(LeaseCommittee.SIZE);
      }
    }
  }

  /**
   * Guards against a holder in a large fleet that loses its leases although no other host claims
   * them, so that its runners receive no orders for more than three seconds: claims and grants are
   * lost, and a fifth of the hosts die at once.
   */
  @Property(tries = 60)
  void keepsLeaseDespitePacketLossAndDeadHosts(@ForAll long seed) {
    Random random = new Random(seed);
    List<Candidate> all = candidates(95, 4);
    Set<String> committee = LeaseCommittee.select(all, LeaseCommittee.SIZE);
    LeasedAuthority authority = new LeasedAuthority(LEASE_MILLIS);
    authority.updateGranters(committee, 0);
    long firstHeldMillis = -1;
    for (long now = 0; now < 20_000; now += 10) {
      boolean fifthIsDead = now >= 10_000;
      if (authority.claimDue(now)) {
        authority.roundSent(now);
        for (String host : committee) {
          boolean dead = fifthIsDead && Integer.parseInt(host.substring(1)) % 5 == 0;
          if (!dead && random.nextDouble() > 0.04) {
            authority.claimGranted(host, now, now + ROUND_TRIP_MILLIS);
          }
        }
      }
      boolean held = authority.rights(now + ROUND_TRIP_MILLIS).held();
      firstHeldMillis = held && firstHeldMillis < 0 ? now : firstHeldMillis;
      assertThat(firstHeldMillis < 0 || held).isTrue();
    }
    assertThat(firstHeldMillis).isAtLeast(0);
  }
}
