package org.sequoiahub.core.authority;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants soft leases on runners, from memory only.
 *
 * <p>A granter that was restarted has forgotten what it granted. It therefore grants nothing for
 * one lease duration: by then every lease that it may have forgotten has expired.
 */
public final class LeaseGranter {

  private final long abstainUntilMillis;
  private final Map<String, Grant> grants = new HashMap<>();

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
    grants.put(runner, new Grant(holder, nowMillis + durationMillis));
    return true;
  }

  /** Ends {@code holder}'s lease on {@code runner}, if it holds one. */
  public void release(String runner, String holder) {
    Grant current = grants.get(runner);
    if (current != null && current.holder.equals(holder)) {
      grants.remove(runner);
    }
  }

  private record Grant(String holder, long expiresMillis) {}
}
