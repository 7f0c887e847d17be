package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Authority over a runner whose engine does not check fencing numbers: a soft lease from a majority
 * of the hosts.
 *
 * <p>While a change of the host list is younger than the lease's duration, a majority of the hosts
 * before the change is needed as well, so that two holders that read the list at different moments
 * cannot both find a majority.
 */
public final class LeasedAuthority implements Authority {

  /**
   * A holder whose round of renewals failed asks all hosts in the next one, at the end of the
   * lease. Until then it may miss some milliseconds of the lease, but nobody else can have got it.
   */
  private static final int RENEWALS_PER_TERM = 2;

  /**
   * Claims in the time of a lease while it is not held. After a restart of all hosts the granters
   * abstain until each has run for a lease's duration, so the first rounds fail; with three rounds
   * in that time the holders were found 0.1 to 1.5 s after the last granter was willing.
   */
  private static final int CLAIMS_PER_TERM = 6;

  private final long durationMillis;
  private final Term term;
  private final List<Electorate> formerElectorates = new ArrayList<>();
  private Set<String> updateGranters = Set.of();
  private final Set<String> grantedBy = new HashSet<>();
  private long roundSentMillis;
  private long nextClaimMillis = Long.MIN_VALUE;
  private boolean lastRoundSucceeded;

  /**
   * Creates an authority that is not held.
   *
   * @param durationMillis how long authority lasts after the sending of an accepted renewal
   */
  public LeasedAuthority(long durationMillis) {
    checkArgument(durationMillis > 0, "durationMillis must be above 0");
    this.durationMillis = durationMillis;
    this.term = new Term(durationMillis);
  }

  /** Sets the hosts that may grant the lease. */
  public void updateGranters(Set<String> hosts, long nowMillis) {
    if (hosts.equals(updateGranters)) {
      return;
    }
    if (!updateGranters.isEmpty()) {
      formerElectorates.add(new Electorate(updateGranters, nowMillis + durationMillis));
    }
    updateGranters = Set.copyOf(hosts);
  }

  /** Returns the hosts to ask for a grant, those of former lists included. */
  public Set<String> hostsToAsk(long nowMillis) {
    Set<String> hosts = new HashSet<>(updateGranters);
    formerElectorates.removeIf(quorum -> nowMillis >= quorum.expiresMillis);
    formerElectorates.forEach(quorum -> hosts.addAll(quorum.hosts));
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

  /** Returns whether a majority granted the claim of the latest round. */
  public boolean lastRoundSucceeded() {
    return lastRoundSucceeded;
  }

  /** Records that a round of claims is being sent; answers to earlier rounds no longer count. */
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
    formerElectorates.removeIf(quorum -> nowMillis >= quorum.expiresMillis);
    if (isMajority(updateGranters) && formerElectorates.stream().allMatch(quorum -> isMajority(quorum.hosts))) {
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
