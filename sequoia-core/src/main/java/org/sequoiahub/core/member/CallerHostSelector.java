package org.sequoiahub.core.member;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
   * Processor capacity per request a second (hundredths of a core). Where a host serves many
   * requests, one costs less than half of this; the rest stays free for bursts. With a larger value
   * weak hosts are advertised too, each of which serves few requests with code that is not compiled
   * yet, at several times the cost.
   */
  private static final double PROCESSOR_PER_REQUEST = 1.5;

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
    double requiredProcessor =
        Math.max(
            totalProcessor * MIN_PROCESSOR_FRACTION, requestsPerSecond * PROCESSOR_PER_REQUEST);
    List<Candidate> selected = new ArrayList<>();
    int selectedProcessor = 0;
    for (Candidate candidate : ranked) {
      if (selectedProcessor < requiredProcessor
          || countInDomain(selected, candidate.failureDomain) < MIN_HOSTS_PER_DOMAIN) {
        selected.add(candidate);
        selectedProcessor += candidate.processor;
      }
    }
    return selected;
  }

  private static long countInDomain(List<Candidate> selected, String failureDomain) {
    return selected.stream().filter(host -> host.failureDomain.equals(failureDomain)).count();
  }
}
