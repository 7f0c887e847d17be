package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Authority over a runner whose engine does not check fencing numbers, held as a lease from a
 * majority of the hosts.
 *
 * <p>For one lease duration after a change of the host list, a majority of the previous hosts is
 * required as well. Otherwise, two holders that read the list at different times could both obtain
 * a majority.
 */
public final class LeasedAuthority implements Authority {

  /**
   * Rounds of claims per lease duration while the lease is held. After a failed round, the holder
   * asks all hosts in the next one, at the end of the lease. It may be without the lease for a few
   * milliseconds by then, but no other holder can have obtained it.
   */
  private static final int RENEWALS_PER_TERM = 2;

  /**
   * Rounds of claims per lease duration while the lease is not held. After a restart of all hosts,
   * the granters abstain until each has run for a lease duration, so the first rounds fail. With
   * three rounds per lease duration, holders obtained their leases only 0.1 to 1.5 s after the last
   * granter had stopped abstaining.
   */
  private static final int CLAIMS_PER_TERM = 6;

  private final long durationMillis;
  private final Term term;
  private final List<Electorate> formerElectorates = new ArrayList<>();
  private Set<String> granters = Set.of();
  private final Set<String> grantedBy = new HashSet<>();
  private long roundSentMillis;
  private long nextClaimMillis = Long.MIN_VALUE;
  private boolean lastRoundSucceeded;

  /**
   * Creates an authority that is not held.
   *
   * @param durationMillis how long authority lasts after an accepted renewal was sent
   */
  public LeasedAuthority(long durationMillis) {
    checkArgument(durationMillis > 0, "durationMillis must be above 0");
    this.durationMillis = durationMillis;
    this.term = new Term(durationMillis);
  }

  /** Replaces the hosts that may grant the lease; the previous ones count for a lease duration. */
  public void updateGranters(Set<String> hosts, long nowMillis) {
    if (hosts.equals(granters)) {
      return;
    }
    if (!granters.isEmpty()) {
      formerElectorates.add(new Electorate(granters, nowMillis + durationMillis));
    }
    granters = Set.copyOf(hosts);
  }

  /** Returns the hosts to ask for a grant, including those of former lists that still count. */
  public Set<String> hostsToAsk(long nowMillis) {
    Set<String> hosts = new HashSet<>(granters);
    formerElectorates.removeIf(electorate -> nowMillis >= electorate.expiresMillis);
    formerElectorates.forEach(electorate -> hosts.addAll(electorate.hosts));
    return hosts;
  }

  @Override
  public Rights rights(long nowMillis) {
    return term.rights(nowMillis);
  }

  @Override
  public boolean claimDue(long nowMillis) {
    return nowMillis >= nextClaimMillis;
  }

  /** Returns whether the required majorities granted the claim of the latest round. */
  public boolean lastRoundSucceeded() {
    return lastRoundSucceeded;
  }

  /** Records that a round of claims is being sent; grants of earlier rounds no longer count. */
  public void roundSent(long nowMillis) {
    roundSentMillis = nowMillis;
    lastRoundSucceeded = false;
    grantedBy.clear();
    int rounds = term.rights(nowMillis).held() ? RENEWALS_PER_TERM : CLAIMS_PER_TERM;
    nextClaimMillis = nowMillis + durationMillis / rounds;
  }

  /** Records that {@code host} granted the claim of the round sent at {@code sentMillis}. */
  public void claimGranted(String host, long sentMillis, long nowMillis) {
    if (sentMillis != roundSentMillis) {
      return;
    }
    grantedBy.add(host);
    formerElectorates.removeIf(electorate -> nowMillis >= electorate.expiresMillis);
    if (isMajority(granters)
        && formerElectorates.stream().allMatch(electorate -> isMajority(electorate.hosts))) {
      lastRoundSucceeded = true;
      term.claimAccepted(sentMillis, nowMillis);
    }
  }

  @Override
  public long fencingNumber() {
    return 0;
  }

  @Override
  public void release() {
    term.end();
    lastRoundSucceeded = false;
    roundSentMillis = Long.MIN_VALUE;
    nextClaimMillis = Long.MIN_VALUE;
  }

  private boolean isMajority(Set<String> hosts) {
    long count = hosts.stream().filter(grantedBy::contains).count();
    return !hosts.isEmpty() && 2 * count > hosts.size();
  }

  private record Electorate(Set<String> hosts, long expiresMillis) {}
}
