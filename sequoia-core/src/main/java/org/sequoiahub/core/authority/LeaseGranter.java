package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Grants leases on runners and keeps them in memory only.
 *
 * <p>A restarted granter has no record of the leases that it granted before. It therefore grants
 * nothing until the longest lease duration has passed, when all of those leases have expired.
 */
public final class LeaseGranter {

  private final long startedMillis;
  private final long abstainUntilMillis;
  private final Map<String, Grant> grants = new HashMap<>();

  /** Runners whose lease has been granted to more than one holder or has been released. */
  private final Set<String> previouslyHeld = new HashSet<>();

  /**
   * Creates a granter.
   *
   * @param startedMillis when this process started
   * @param longestMillis the longest duration for which a lease is granted
   */
  public LeaseGranter(long startedMillis, long longestMillis) {
    checkArgument(longestMillis > 0, "longestMillis must be above 0");
    this.startedMillis = startedMillis;
    this.abstainUntilMillis = startedMillis + longestMillis;
  }

  /**
   * Grants or renews {@code holder}'s lease on {@code runner}.
   *
   * @return whether the lease was granted; false if another holder has it or the granter still
   *     abstains after its start
   */
  public boolean grant(String runner, String holder, long durationMillis, long nowMillis) {
    if (nowMillis < abstainUntilMillis) {
      return false;
    }
    Grant current = grants.get(runner);
    if (current != null && !current.holder.equals(holder) && nowMillis < current.expiresMillis) {
      return false;
    }
    long exclusiveSinceMillis = startedMillis;
    if (current != null && current.holder.equals(holder)) {
      exclusiveSinceMillis = current.exclusiveSinceMillis;
    } else if (current != null) {
      exclusiveSinceMillis = current.grantedMillis;
      previouslyHeld.add(runner);
    }
    grants.put(
        runner, new Grant(holder, nowMillis, nowMillis + durationMillis, exclusiveSinceMillis));
    return true;
  }

  /**
   * Returns for how long this granter has granted the runner's lease to nobody but {@code holder}
   * (ms), which is at most the time since it started; 0 if it granted it to another holder last.
   */
  public long exclusiveMillis(String runner, String holder, long nowMillis) {
    Grant current = grants.get(runner);
    return current != null && current.holder.equals(holder)
        ? nowMillis - current.exclusiveSinceMillis
        : 0;
  }

  /**
   * Returns whether this granter has granted the runner's lease to nobody but {@code holder} since
   * it started.
   */
  public boolean grantedOnlyTo(String runner, String holder) {
    Grant current = grants.get(runner);
    return !previouslyHeld.contains(runner) && (current == null || current.holder.equals(holder));
  }

  /**
   * Removes the state of all runners that are not in {@code runners} and whose lease was last
   * granted at least {@code retentionMillis} ago: a holder may know a runner before this host does.
   */
  public void retainRunners(Set<String> runners, long retentionMillis, long nowMillis) {
    grants
        .entrySet()
        .removeIf(
            entry ->
                !runners.contains(entry.getKey())
                    && nowMillis - entry.getValue().grantedMillis >= retentionMillis);
    previouslyHeld.removeIf(runner -> !runners.contains(runner) && !grants.containsKey(runner));
  }

  /** Ends {@code holder}'s lease on {@code runner}, if it holds one. */
  public void release(String runner, String holder) {
    Grant current = grants.get(runner);
    if (current != null && current.holder.equals(holder)) {
      grants.put(
          runner,
          new Grant(holder, current.grantedMillis, Long.MIN_VALUE, current.exclusiveSinceMillis));
      previouslyHeld.add(runner);
    }
  }

  /**
   * The last grant of a runner's lease.
   *
   * @param grantedMillis when it was made (ms)
   * @param exclusiveSinceMillis when the lease was last granted to another holder, or when this
   *     granter started (ms)
   */
  private record Grant(
      String holder, long grantedMillis, long expiresMillis, long exclusiveSinceMillis) {}
}
