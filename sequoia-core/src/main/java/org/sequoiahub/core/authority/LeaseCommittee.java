package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * Selects the hosts of a large fleet that grant leases, so that the cost of a lease does not grow
 * with the fleet.
 *
 * <p>The selection needs no agreement: hosts that know the same members select the same ones, and
 * two majorities share a host as long as the selections differ in one host only. The strongest
 * hosts are selected, as these work anyway, and as many of each failure domain, so that a majority
 * remains if one of three domains fails.
 */
public final class LeaseCommittee {

  /** Number of selected hosts: four of each of three failure domains, or three of each of four. */
  public static final int SIZE = 12;

  private static final String RANKING_KEY = "granter";

  private LeaseCommittee() {}

  /**
   * A host that may grant leases.
   *
   * @param strength the processor capacity of the host
   */
  public record Candidate(String host, String failureDomain, int strength) {}

  /** Returns the hosts that grant leases; all candidates if there are few. */
  public static Set<String> select(List<Candidate> candidates, int size) {
    checkArgument(size > 0, "size must be above 0, was %s", size);
    Map<String, List<Candidate>> byDomain = new TreeMap<>();
    for (Candidate candidate :
        Rendezvous.ranking(RANKING_KEY, candidates, candidate -> candidate.host)) {
      byDomain.computeIfAbsent(candidate.failureDomain, d -> new ArrayList<>()).add(candidate);
    }
    // The sort is stable: hosts of equal strength stay in the order of the ranking.
    byDomain
        .values()
        .forEach(hosts -> hosts.sort(Comparator.comparingInt(Candidate::strength).reversed()));
    Set<String> selected = new HashSet<>();
    int wanted = Math.min(size, candidates.size());
    for (int rank = 0; selected.size() < wanted; rank++) {
      for (List<Candidate> hosts : byDomain.values()) {
        if (rank < hosts.size() && selected.size() < wanted) {
          selected.add(hosts.get(rank).host);
        }
      }
    }
    return Set.copyOf(selected);
  }
}
