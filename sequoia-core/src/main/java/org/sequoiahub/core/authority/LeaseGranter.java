package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Grants soft leases on runners, from memory only.
 *
 * <p>A granter that was restarted has forgotten what it granted. It therefore grants nothing for
 * one lease duration: by then every lease that it may have forgotten has expired.
 */
public final class LeaseGranter {

  private final long abstainUntilMillis;
  private final Map<String, Grant> grants = new HashMap<>();

  /** Runners whose lease has been held by more than one holder, or was given up by one. */
  private final Set<String> previouslyHeld = new HashSet<>();

  /**
   * Creates a granter.
   *
   * @param startedMillis when this process started
   * @param longestMillis the longest lease that is ever granted
   */
  public LeaseGranter(long startedMillis, long longestMillis) {
    checkArgument(longestMillis > 0, "longestMillis must be above 0");
    this.abstainUntilMillis = startedMillis + longestMillis;
  }

  /** Grants or renews {@code holder}'s lease on {@code runner}, unless another holds it. */
  public boolean grant(String runner, String holder, long durationMillis, long nowMillis) {
    if (nowMillis < abstainUntilMillis) {
      return false;
    }
    Grant current = grants.get(runner);
    if (current != null && !current.holder.equals(holder) && nowMillis < current.expiresMillis) {
      return false;
    }
    if (current != null && !current.holder.equals(holder)) {
      previouslyHeld.add(runner);
    }
    grants.put(runner, new Grant(holder, nowMillis + durationMillis));
    return true;
  }

  /**
   * Returns whether {@code holder} is the only one to whom this granter ever granted the runner's
   * lease, since it started.
   */
  public boolean grantedOnlyTo(String runner, String holder) {
    Grant current = grants.get(runner);
    return !previouslyHeld.contains(runner) && (current == null || current.holder.equals(holder));
  }

  /** Forgets runners that are gone. */
  public void retainRunners(Set<String> runners) {
    grants.keySet().retainAll(runners);
    previouslyHeld.retainAll(runners);
  }

  /** Ends {@code holder}'s lease on {@code runner}, if it holds one. */
  public void release(String runner, String holder) {
    Grant current = grants.get(runner);
    if (current != null && current.holder.equals(holder)) {
      grants.remove(runner);
      previouslyHeld.add(runner);
    }
  }

  private record Grant(String holder, long expiresMillis) {}
}
