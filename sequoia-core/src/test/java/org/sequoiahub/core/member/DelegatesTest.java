package org.sequoiahub.core.member;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DelegatesTest {

  private static Map<String, String> fleet(int hosts, int domains) {
    Map<String, String> domainByHost = new HashMap<>();
    for (int host = 0; host < hosts; host++) {
      domainByHost.put("host-" + host, "z" + host % domains);
    }
    return domainByHost;
  }

  @Nested
  class Groups {
    @Test
    void ofSmallDomainsAreTheDomains() {
      assertThat(new TreeSet<>(Delegates.groups(fleet(66, 4)).values())).hasSize(4);
    }

    /**
     * Guards against delegates of a large failure domain that have no time left for requests.
     *
     * <p>A domain has 300 hosts, which two delegates must not represent alone.
     */
    @Test
    void ofLargeDomainsStaySmall() {
      Map<String, Integer> sizes = new HashMap<>();
      Delegates.groups(fleet(300, 1)).values().forEach(g -> sizes.merge(g, 1, Integer::sum));
      assertThat(sizes).hasSize(8);
      assertThat(sizes.values().stream().max(Integer::compare).get())
          .isAtMost(Delegates.MAX_GROUP_HOSTS);
    }
  }

  @Nested
  class Choice {
    @Test
    void prefersStrongHosts() {
      Map<String, String> groups = Delegates.groups(fleet(66, 4));
      Set<String> strong = Set.of("host-20", "host-21", "host-22", "host-23");
      Set<String> delegates = Delegates.of(groups, host -> strong.contains(host) ? 150 : 36);
      assertThat(delegates).hasSize(4 * Delegates.PER_GROUP);
      assertThat(delegates).containsAtLeastElementsIn(strong);
    }

    @Test
    void ofAnEmptyFleetIsEmpty() {
      assertThat(Delegates.of(Map.of(), host -> 1)).isEmpty();
    }
  }

  /**
   * Guards against hosts that use entirely different delegates because they see one host more or
   * less.
   *
   * <p>One host dies. The selection must not depend on the number of hosts.
   */
  @Property(tries = 200, seed = "20261230")
  void deathOfOneHostChangesOneDelegateAtMost(
      @ForAll @IntRange(min = 17, max = 120) int hosts, @ForAll @IntRange(max = 119) int dead) {
    Map<String, String> groups = Delegates.groups(fleet(hosts, 4));
    Set<String> before = Delegates.of(groups, host -> 1);
    Map<String, String> remaining = new HashMap<>(groups);
    remaining.remove("host-" + dead % hosts);
    Set<String> after = new HashSet<>(Delegates.of(remaining, host -> 1));
    after.removeAll(before);
    assertWithMessage("new delegates").that(after.size()).isAtMost(1);
  }
}
