package org.sequoiahub.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * Selects the hosts that represent their group of a failure domain in a large fleet.
 *
 * <p>A failure domain of many hosts is divided into groups, so that the cost of a delegate stays
 * the same.
 *
 * <p>If every host exchanges its state with every other one, the cost per host grows with the
 * fleet: at 66 hosts, a host spends a tenth of a core on it, 236 MB pass between failure domains in
 * 53 s, and 66 watches of the store are nine tenths of the cost of its calls. Beyond a certain
 * size, each host therefore exchanges state with two delegates of its group only. The delegates
 * exchange sums between the groups, watch the store and order the runners. The selection needs no
 * agreement: hosts that temporarily see different members use different delegates, and all of these
 * forward what they receive.
 */
public final class Delegates {

  /**
   * The largest fleet without delegates. Changes arrive within 25 ms there, and within some hundred
   * through delegates.
   */
  public static final int MAX_HOSTS_WITHOUT_DELEGATES = 16;

  /**
   * The largest number of hosts in a group; its first delegate sends each of them five digests a
   * second, and seven to those that place requests.
   */
  public static final int MAX_GROUP_HOSTS = 64;

  /** The number of delegates per group; one may die unnoticed for a second. */
  public static final int PER_GROUP = 2;

  private static final String RANKING_KEY = "delegate";

  private Delegates() {}

  /** Returns whether a fleet of this size has delegates. */
  public static boolean areNeeded(int hosts) {
    return hosts > MAX_HOSTS_WITHOUT_DELEGATES;
  }

  /**
   * Returns the group of each host.
   *
   * <p>A failure domain has a power of two of groups, so that a host that joins or leaves changes
   * the division only where the number of hosts doubles or halves.
   */
  public static Map<String, String> groups(Map<String, String> domainByHost) {
    Map<String, Integer> sizes = new HashMap<>();
    domainByHost.values().forEach(domain -> sizes.merge(domain, 1, Integer::sum));
    Map<String, String> groups = new HashMap<>();
    domainByHost.forEach(
        (host, domain) -> {
          int groupCount = 1;
          while (sizes.getOrDefault(domain, 0) > groupCount * MAX_GROUP_HOSTS) {
            groupCount *= 2;
          }
          groups.put(host, domain + "/" + Math.floorMod(Rendezvous.hash(host), groupCount));
        });
    return groups;
  }

  /**
   * Returns the delegates of all groups: the strongest hosts, as a delegate does ten times the work
   * of the others. Hosts of equal strength are ranked by hash.
   *
   * @param strength the processor capacity of a host
   */
  public static Set<String> of(Map<String, String> groupByHost, ToIntFunction<String> strength) {
    Map<String, List<String>> byGroup = new HashMap<>();
    groupByHost.forEach(
        (host, group) -> byGroup.computeIfAbsent(group, g -> new ArrayList<>()).add(host));
    Set<String> delegates = new HashSet<>();
    for (List<String> hosts : byGroup.values()) {
      List<String> ranked = new ArrayList<>(Rendezvous.ranking(RANKING_KEY, hosts, host -> host));
      ranked.sort(Comparator.comparingInt(strength).reversed());
      delegates.addAll(ranked.subList(0, Math.min(PER_GROUP, ranked.size())));
    }
    return delegates;
  }
}
