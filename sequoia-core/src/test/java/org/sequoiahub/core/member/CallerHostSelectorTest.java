package org.sequoiahub.core.member;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sequoiahub.core.member.CallerHostSelector.Candidate;

class CallerHostSelectorTest {

  private static final int DOMAINS = 4;
  private static final int STRONG = 150;
  private static final int WEAK = 36;

  /** Returns eight strong hosts and 69 weak ones in four failure domains. */
  private static List<Candidate> fleet() {
    List<Candidate> fleet = new ArrayList<>();
    for (int i = 0; i < 77; i++) {
      fleet.add(
          new Candidate("host-" + i, "ip-" + i + ":1", "z" + i % DOMAINS, i < 8 ? STRONG : WEAK));
    }
    return fleet;
  }

  private static int processor(List<Candidate> hosts) {
    return hosts.stream().mapToInt(Candidate::processor).sum();
  }

  @Nested
  class SlowHosts {

    /**
     * Guards against slow requests in a large fleet whose processors are nearly idle.
     *
     * <p>170 requests a second arrive at 77 hosts, of which eight have four times the processor of
     * the others. If every host is advertised to the callers, each serves two requests a second,
     * slowly and with code that is never compiled, and a weak host receives a 77th just like a
     * strong one. A request takes 25 ms of processor time where a host serves two a second, and 9
     * ms where it serves 17.
     */
    @Test
    void strongHostsReceiveTheRequests() {
      List<Candidate> selected = CallerHostSelector.select(fleet(), 170);
      assertThat(selected).hasSize(8);
      assertThat(selected.stream().allMatch(host -> host.processor() == STRONG)).isTrue();
    }

    @Test
    void selectsMoreHostsForMoreDemand() {
      List<Candidate> lowDemand = CallerHostSelector.select(fleet(), 170);
      List<Candidate> highDemand = CallerHostSelector.select(fleet(), 1_600);
      assertThat(highDemand.size()).isGreaterThan(lowDemand.size());
      assertThat(highDemand).containsAtLeastElementsIn(lowDemand);
      assertThat(CallerHostSelector.select(fleet(), 10_000)).hasSize(77);
    }

    /**
     * Guards against weak hosts that are overloaded although the fleet has processor capacity left:
     * callers draw a host from those advertised, so that a weak host receives as much as a strong
     * one. At 6 ms a request, the share of no host may use more than 0.6 of its processor.
     */
    @Test
    void eachSelectedHostCanServeAnEqualShare() {
      for (int demand = 0; demand <= 2_700; demand += 50) {
        List<Candidate> selected = CallerHostSelector.select(fleet(), demand);
        double share = (double) demand / selected.size();
        for (Candidate host : selected) {
          assertThat(share * 0.6).isAtMost(host.processor() * 0.6);
        }
      }
    }
  }

  @Nested
  class Losses {

    @Test
    void selectsWeakHostsWithoutStrongOnes() {
      List<Candidate> remaining = fleet().subList(8, 77);
      List<Candidate> selected = CallerHostSelector.select(remaining, 170);
      assertThat(processor(selected)).isAtLeast(170 * 4);
      assertThat(selected.size()).isLessThan(77 / 2);
    }

    @Test
    void selectsTwoHostsPerDomain() {
      List<Candidate> fleet = new ArrayList<>(fleet());
      fleet.removeIf(host -> host.failureDomain().equals("z0") && host.processor() == STRONG);
      List<Candidate> selected = CallerHostSelector.select(fleet, 0);
      for (int domain = 0; domain < DOMAINS; domain++) {
        String name = "z" + domain;
        assertThat(selected.stream().filter(host -> host.failureDomain().equals(name)).count())
            .isAtLeast(2);
      }
    }

    @Test
    void selectsTheLastHost() {
      assertThat(CallerHostSelector.select(fleet().subList(76, 77), 0)).hasSize(1);
      assertThat(CallerHostSelector.select(List.of(), 0)).isEmpty();
    }

    /** Callers close connections to hosts that are no longer advertised. */
    @Test
    void oneLossChangesFewOthers() {
      Set<Candidate> before = new HashSet<>(CallerHostSelector.select(fleet(), 300));
      for (Candidate lost : before) {
        List<Candidate> remaining = new ArrayList<>(fleet());
        remaining.remove(lost);
        Set<Candidate> after = new HashSet<>(CallerHostSelector.select(remaining, 300));
        assertThat(before.stream().filter(host -> !after.contains(host)).count()).isAtMost(2);
        assertThat(after.stream().filter(host -> !before.contains(host)).count()).isAtMost(5);
      }
    }
  }

  @Nested
  class Agreement {

    @Test
    void selectionDoesNotDependOnTheOrderOfCandidates() {
      List<Candidate> shuffled = fleet();
      Collections.shuffle(shuffled, new Random(3));
      assertThat(CallerHostSelector.select(shuffled, 200))
          .containsExactlyElementsIn(CallerHostSelector.select(fleet(), 200))
          .inOrder();
    }
  }
}
