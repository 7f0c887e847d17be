package org.sequoiahub.core.member;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * Selects the hosts of a large fleet that are advertised to callers.
 *
 * <p>Callers draw a host from those advertised, so a fleet that advertises all hosts gives each the
 * same fraction of the requests, however weak it is. Every host then serves only a few requests:
 * its code is never compiled, it knows few of the prompts that runners have cached, and each of the
 * many hosts learns late what the others have sent. Therefore only the strongest hosts are
 * advertised, as many as the requests need.
 *
 * <p>Hosts that know the same members and the same demand make the same selection, and a host that
 * joins or leaves changes the selection by few other hosts: callers close connections to hosts that
 * are no longer advertised.
 */
public final class CallerHostSelector {

  /**
   * Processor time of a request at a host that serves many (hundredths of a core per request a
   * second): 6 ms. At a host that serves two a second it is several times as much.
   */
  private static final double PROCESSOR_PER_REQUEST = 0.6;

  /**
   * Fraction of a host's processor that its share of the requests may use. The rest is for its
   * duties in the fleet and for demand that has just jumped.
   */
  private static final double MAX_UTILIZATION = 0.6;

  /**
   * The smallest fraction of the fleet's processor capacity that is advertised, whatever the
   * demand: the demand is known some seconds late, and it may jump.
   */
  private static final double MIN_PROCESSOR_FRACTION = 0.3;

  /**
   * The smallest number of hosts that are advertised per failure domain: one may die unnoticed for
   * a second.
   */
  private static final int MIN_HOSTS_PER_DOMAIN = 2;

  private CallerHostSelector() {}

  /**
   * A host that accepts requests.
   *
   * @param host the host's name
   * @param address where callers connect
   * @param failureDomain the host's failure domain
   * @param processor the host's processor capacity (hundredths of a core)
   */
  public record Candidate(String host, String address, String failureDomain, int processor) {}

  /**
   * Returns the hosts to advertise, the strongest first.
   *
   * @param candidates all hosts that accept requests
   * @param requestsPerSecond the demand of all callers
   */
  public static List<Candidate> select(Collection<Candidate> candidates, double requestsPerSecond) {
    checkArgument(requestsPerSecond >= 0, "requestsPerSecond must not be negative");
    List<Candidate> ranked = new ArrayList<>(candidates);
    ranked.sort(
        Comparator.comparingInt(Candidate::processor).reversed().thenComparing(Candidate::host));
    int totalProcessor = ranked.stream().mapToInt(Candidate::processor).sum();
    double minProcessor = totalProcessor * MIN_PROCESSOR_FRACTION;
    List<Candidate> selected = new ArrayList<>();
    List<Candidate> rest = new ArrayList<>();
    int selectedProcessor = 0;
    for (Candidate candidate : ranked) {
      if (selectedProcessor < minProcessor
          || countInDomain(selected, candidate.failureDomain) < MIN_HOSTS_PER_DOMAIN) {
        selected.add(candidate);
        selectedProcessor += candidate.processor;
      } else {
        rest.add(candidate);
      }
    }
    Iterator<Candidate> next = rest.iterator();
    while (next.hasNext() && !carry(selected, requestsPerSecond)) {
      selected.add(next.next());
    }
    return selected;
  }

  /** Returns whether the weakest of the hosts can serve its share, which is that of each host. */
  private static boolean carry(List<Candidate> hosts, double requestsPerSecond) {
    int weakest = hosts.stream().mapToInt(Candidate::processor).min().orElse(0);
    double share = requestsPerSecond / Math.max(1, hosts.size());
    return share * PROCESSOR_PER_REQUEST <= weakest * MAX_UTILIZATION;
  }

  private static long countInDomain(List<Candidate> selected, String failureDomain) {
    return selected.stream().filter(host -> host.failureDomain.equals(failureDomain)).count();
  }
}
