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
 * Chooses the hosts that speak for their part of a failure domain in a large fleet.
 *
 * <p>A domain of many hosts is divided into groups, so that a delegate's cost stays the same.
 *
 * <p>Hosts that all tell each other everything cost each of them the more the larger the fleet is:
 * at 66 hosts a host spent a tenth of a core on it, 236 MB went between failure domains in 53 s,
 * and 66 watches of the store were nine tenths of what its calls cost. So beyond a size each host
 * speaks to two delegates of its group only; these exchange sums among the groups, watch the store
 * and order the runners. The choice needs no agreement: hosts that see other members for a while
 * speak to other delegates, and all of these pass on what they hear.
 */
public final class Delegates {

  /**
   * Fleets of up to so many hosts have no delegates: news arrives there within 25 ms, through
   * delegates in some hundred. A choice between the sizes that were measured, 9 and 66 hosts.
   */
  public static final int MAX_HOSTS_WITHOUT_DELEGATES = 16;

  /** Hosts of one group at most: its first delegate sends each of them seven digests a second. */
  public static final int MAX_GROUP_HOSTS = 32;

  /** Delegates of each group: one may die unnoticed for a second. */
  public static final int PER_GROUP = 2;

  private static final String RANKING_KEY = "delegate";

  private Delegates() {}

  /** Returns whether a fleet of so many hosts has delegates. */
  public static boolean areNeeded(int hosts) {
    return hosts > MAX_HOSTS_WITHOUT_DELEGATES;
  }

  /**
   * Returns each host's group.
   *
   * <p>A domain has a power of two of groups: a host that comes or goes changes the division only
   * where the number of hosts doubles or halves.
   */
  public static Map<String, String> groups(Map<String, String> domainByHost) {
    Map<String, Integer> sizes = new HashMap<>();
    domainByHost.values().forEach(domain -> sizes.merge(domain, 1, Integer::sum));
    Map<String, String> groups = new HashMap<>();
    domainByHost.forEach(
        (host, domain) -> {
          int parts = 1;
          while (sizes.getOrDefault(domain, 0) > parts * MAX_GROUP_HOSTS) {
            parts *= 2;
          }
          groups.put(host, domain + "/" + Math.floorMod(Rendezvous.hash(host), parts));
        });
    return groups;
  }

  /**
   * Returns the delegates of all groups: their strongest hosts, as a delegate does ten times the
   * work of the others; hosts that are equally strong rank by hash.
   *
   * @param strength how much processor a host has
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
