package org.sequoiahub.core.member;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the hosts of a large fleet that callers are sent to.
 *
 * <p>Callers draw a host from those they are named, so a fleet that names all of them gives each
 * the same part of the requests, however weak it is. Then every host serves a few requests only:
 * its code is never compiled, it knows few of the prompts that runners have read, and each of the
 * many learns late what the others have sent. So the strongest hosts are named, as many as the
 * requests need.
 *
 * <p>Hosts that know the same members and the same demand choose alike, and a host that comes or
 * goes changes the choice by few others: callers close connections to hosts that are no longer
 * named.
 */
public final class CallerHostSelector {

  /**
   * Processor that each request a second is given (hundredths of a core): a request costs 10 to 15
   * ms, and half of a host stays free for bursts and for code that still has to be compiled.
   */
  private static final int PROCESSOR_PER_REQUEST = 4;

  /**
   * Part of the fleet's processor that is named whatever is asked: the demand is known some seconds
   * late, and it may jump.
   */
  private static final double MIN_PROCESSOR_FRACTION = 0.3;

  /** Hosts of each failure domain that are named at least: one may die unnoticed for a second. */
  private static final int MIN_HOSTS_PER_DOMAIN = 2;

  private CallerHostSelector() {}

  /**
   * A host that takes requests.
   *
   * @param host its name
   * @param address where callers connect
   * @param failureDomain its failure domain
   * @param processor how much processor it has (hundredths of a core)
   */
  public record Candidate(String host, String address, String failureDomain, int processor) {}

  /**
   * Returns the hosts to name, the strongest first.
   *
   * @param candidates all hosts that take requests
   * @param requestsPerSecond what all callers ask
   */
  public static List<Candidate> select(Collection<Candidate> candidates, double requestsPerSecond) {
    checkArgument(requestsPerSecond >= 0, "requestsPerSecond must not be negative");
    List<Candidate> ranked = new ArrayList<>(candidates);
    ranked.sort(
        Comparator.comparingInt(Candidate::processor).reversed().thenComparing(Candidate::host));
    int whole = ranked.stream().mapToInt(Candidate::processor).sum();
    double wanted =
        Math.max(whole * MIN_PROCESSOR_FRACTION, requestsPerSecond * PROCESSOR_PER_REQUEST);
    List<Candidate> named = new ArrayList<>();
    int given = 0;
    for (Candidate candidate : ranked) {
      if (given < wanted || countInDomain(named, candidate.failureDomain) < MIN_HOSTS_PER_DOMAIN) {
        named.add(candidate);
        given += candidate.processor;
      }
    }
    return named;
  }

  private static long countInDomain(List<Candidate> named, String failureDomain) {
    return named.stream().filter(host -> host.failureDomain.equals(failureDomain)).count();
  }
}
