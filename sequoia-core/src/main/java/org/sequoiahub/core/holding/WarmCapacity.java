package org.sequoiahub.core.holding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how many unloaded adapters a runner can still reload quickly, from observed reloads.
 *
 * <p>No record states this number. If the estimate is too low, a request waits ten times as long as
 * necessary for an adapter that its runner still has in memory. If it is too high, the request is
 * sent too early and rejected once.
 */
public final class WarmCapacity {

  /**
   * Factor on the depth of the deepest observed fast reload up to which another one is expected.
   */
  private static final double PROBE_FACTOR = 1.5;

  private double known;
  private double ceiling = Double.POSITIVE_INFINITY;

  /**
   * Creates an estimate.
   *
   * @param initial the warm capacity assumed before any reload was observed (adapters), above 0
   */
  public WarmCapacity(int initial) {
    checkArgument(initial > 0, "the initial warm capacity must be above 0, was %s", initial);
    this.known = initial;
  }

  /**
   * Returns whether an adapter is expected to be reloaded quickly.
   *
   * @param depth how many adapters were unloaded after it
   */
  boolean expectsFastReload(int depth) {
    return depth < Math.min(known * PROBE_FACTOR, ceiling);
  }

  /** Returns the current estimate. */
  public int size() {
    return (int) Math.min(known, ceiling);
  }

  /** Records that an adapter at this depth was reloaded quickly. */
  void recordFastReload(int depth) {
    known = Math.max(known, depth + 1);
    ceiling = Math.max(ceiling, known);
  }

  /** Records that an adapter at this depth was loaded from the weight store instead. */
  void recordSlowReload(int depth) {
    ceiling = Math.max(1, Math.min(ceiling, depth));
    known = Math.min(known, ceiling);
  }
}
