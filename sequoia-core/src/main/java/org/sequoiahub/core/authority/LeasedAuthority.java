package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

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

  /** The current electorates; a majority of each is required. */
  private List<Set<String>> electorates = List.of();

  /** The hosts that granted the latest round, and since when each granted to no other holder. */
  private final Map<String, Long> exclusiveSinceMillis = new HashMap<>();

  private long roundSentMillis;
  private long nextClaimMillis = Long.MIN_VALUE;
  private boolean lastRoundSucceeded;

  /** When the term before the current one expired (ms). */
  private long formerTermEndMillis = Long.MIN_VALUE;

  /** When the round was sent with which the current term began (ms). */
  private long termRoundMillis = Long.MIN_VALUE;

  private boolean continuesFormerTerm;

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
    updateElectorates(List.of(hosts), nowMillis);
  }

  /**
   * Replaces the sets of hosts of each of which a majority must grant the lease; the previous ones
   * count for a lease duration.
   */
  public void updateElectorates(List<Set<String>> current, long nowMillis) {
    if (current.equals(electorates)) {
      return;
    }
    List<Set<String>> copies = new ArrayList<>();
    current.forEach(hosts -> copies.add(Set.copyOf(hosts)));
    for (Set<String> former : electorates) {
      if (!copies.contains(former)) {
        formerElectorates.add(new Electorate(former, nowMillis));
      }
    }
    electorates = List.copyOf(copies);
    removeObsoleteElectorates(nowMillis);
  }

  /** Returns the hosts to ask for a grant, including those of former lists that still count. */
  public Set<String> hostsToAsk(long nowMillis) {
    Set<String> hosts = new HashSet<>();
    electorates.forEach(hosts::addAll);
    formerElectorates.stream()
        .filter(electorate -> isRecent(electorate, nowMillis))
        .forEach(electorate -> hosts.addAll(electorate.hosts));
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
    exclusiveSinceMillis.clear();
    int rounds = term.rights(nowMillis).held() ? RENEWALS_PER_TERM : CLAIMS_PER_TERM;
    nextClaimMillis = nowMillis + durationMillis / rounds;
  }

  /**
   * Records that {@code host} granted the claim of the round sent at {@code sentMillis}; what it
   * granted to other holders before is not known.
   */
  public void claimGranted(String host, long sentMillis, long nowMillis) {
    claimGranted(host, sentMillis, 0, nowMillis);
  }

  /**
   * Records that {@code host} granted the claim of the round sent at {@code sentMillis}.
   *
   * @param exclusiveMillis for how long the host had granted the lease to no other holder then (ms)
   * @return whether the grant belongs to the latest round; others do not count
   */
  public boolean claimGranted(String host, long sentMillis, long exclusiveMillis, long nowMillis) {
    if (sentMillis != roundSentMillis) {
      return false;
    }
    // The grant was made before now, so the host has been exclusive for longer than this.
    exclusiveSinceMillis.put(host, nowMillis - exclusiveMillis);
    removeObsoleteElectorates(nowMillis);
    // Further grants of a round that has succeeded add nothing to the term.
    if (!lastRoundSucceeded
        && hasGrantedMajorities(electorate -> isRecent(electorate, nowMillis), since -> true)) {
      lastRoundSucceeded = true;
      if (!term.held(nowMillis)) {
        formerTermEndMillis = term.expiresMillis();
        termRoundMillis = sentMillis;
        continuesFormerTerm = false;
      }
      term.claimAccepted(sentMillis, nowMillis);
    }
    if (!continuesFormerTerm
        && sentMillis == termRoundMillis
        && formerTermEndMillis != Long.MIN_VALUE) {
      continuesFormerTerm =
          hasGrantedMajorities(
              electorate -> electorate.replacedMillis >= formerTermEndMillis,
              since -> since <= formerTermEndMillis);
    }
    return true;
  }

  /**
   * Returns whether the lease was regained and no other holder can have had it since the former
   * term: a majority has granted it to nobody else, and any other majority shares a host with it.
   */
  public boolean continuesFormerTerm() {
    return continuesFormerTerm;
  }

  @Override
  public long fencingNumber() {
    return 0;
  }

  @Override
  public void release() {
    term.end();
    continuesFormerTerm = false;
    formerTermEndMillis = Long.MIN_VALUE;
    lastRoundSucceeded = false;
    roundSentMillis = Long.MIN_VALUE;
    nextClaimMillis = Long.MIN_VALUE;
  }

  private boolean isRecent(Electorate electorate, long nowMillis) {
    return nowMillis - electorate.replacedMillis < durationMillis;
  }

  /** Removes the former electorates that count neither for a claim nor for an interrupted term. */
  private void removeObsoleteElectorates(long nowMillis) {
    long endMillis = term.expiresMillis();
    formerElectorates.removeIf(
        electorate ->
            !isRecent(electorate, nowMillis)
                && (endMillis == Long.MIN_VALUE || electorate.replacedMillis < endMillis));
  }

  /** Returns whether the current and the selected former electorates have a granting majority. */
  private boolean hasGrantedMajorities(
      Predicate<Electorate> selected, LongPredicate exclusiveSince) {
    return !electorates.isEmpty()
        && electorates.stream().allMatch(hosts -> isMajority(hosts, exclusiveSince))
        && formerElectorates.stream()
            .filter(selected)
            .allMatch(electorate -> isMajority(electorate.hosts, exclusiveSince));
  }

  private boolean isMajority(Set<String> hosts, LongPredicate exclusiveSince) {
    if (2 * exclusiveSinceMillis.size() <= hosts.size()) {
      return false;
    }
    long count =
        hosts.stream()
            .map(exclusiveSinceMillis::get)
            .filter(since -> since != null && exclusiveSince.test(since))
            .count();
    return 2 * count > hosts.size();
  }

  private record Electorate(Set<String> hosts, long replacedMillis) {}
}
