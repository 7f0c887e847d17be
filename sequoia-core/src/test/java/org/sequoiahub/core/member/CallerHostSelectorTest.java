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

  /** Eight strong hosts and 69 weak ones in four failure domains. */
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
     * Symptom: requests are late in a large fleet although its processors are nearly idle.
     *
     * <p>Events: 170 requests a second come to 77 hosts, of which eight have four times the
     * processor of the others.
     *
     * <p>Cause: each host was named to the callers, so each served two requests a second, slowly
     * and with code that is never compiled; a weak one took a 77th like a strong one.
     *
     * <p>Evidence: processor time of a request, 25 ms where a host serves two a second and 9 ms
     * where it serves 17. Here: the processor of the host that the mean request meets, 48
     * hundredths before and {@link #STRONG} after; requests a second at each host, 2.2 and 21.
     */
    @Test
    void strongHostsTakeTheRequests() {
      List<Candidate> named = CallerHostSelector.select(fleet(), 170);
      assertThat(named).hasSize(8);
      assertThat(named.stream().allMatch(host -> host.processor() == STRONG)).isTrue();
    }

    @Test
    void moreAreNamedWhenMoreIsAsked() {
      List<Candidate> calm = CallerHostSelector.select(fleet(), 170);
      List<Candidate> busy = CallerHostSelector.select(fleet(), 600);
      assertThat(processor(busy)).isAtLeast(600 * 4);
      assertThat(busy).containsAtLeastElementsIn(calm);
      assertThat(CallerHostSelector.select(fleet(), 10_000)).hasSize(77);
    }
  }

  @Nested
  class Losses {

    @Test
    void othersAreNamedWhenTheStrongAreGone() {
      List<Candidate> left = fleet().subList(8, 77);
      List<Candidate> named = CallerHostSelector.select(left, 170);
      assertThat(processor(named)).isAtLeast(170 * 4);
      assertThat(named.size()).isLessThan(77 / 2);
    }

    @Test
    void eachDomainHasTwo() {
      List<Candidate> fleet = new ArrayList<>(fleet());
      fleet.removeIf(host -> host.failureDomain().equals("z0") && host.processor() == STRONG);
      List<Candidate> named = CallerHostSelector.select(fleet, 0);
      for (int domain = 0; domain < DOMAINS; domain++) {
        String name = "z" + domain;
        assertThat(named.stream().filter(host -> host.failureDomain().equals(name)).count())
            .isAtLeast(2);
      }
    }

    @Test
    void lastHostIsNamed() {
      assertThat(CallerHostSelector.select(fleet().subList(76, 77), 0)).hasSize(1);
      assertThat(CallerHostSelector.select(List.of(), 0)).isEmpty();
    }

    /** Callers close connections to hosts that are no longer named. */
    @Test
    void oneLossMovesFewOthers() {
      Set<Candidate> before = new HashSet<>(CallerHostSelector.select(fleet(), 300));
      for (Candidate lost : before) {
        List<Candidate> left = new ArrayList<>(fleet());
        left.remove(lost);
        Set<Candidate> after = new HashSet<>(CallerHostSelector.select(left, 300));
        assertThat(before.stream().filter(host -> !after.contains(host)).count()).isAtMost(2);
        assertThat(after.stream().filter(host -> !before.contains(host)).count()).isAtMost(5);
      }
    }
  }

  @Nested
  class Agreement {

    @Test
    void hostsChooseAlikeWhateverTheOrderTheyLearntIn() {
      List<Candidate> shuffled = fleet();
      Collections.shuffle(shuffled, new Random(3));
      assertThat(CallerHostSelector.select(shuffled, 200))
          .containsExactlyElementsIn(CallerHostSelector.select(fleet(), 200))
          .inOrder();
    }
  }
}
