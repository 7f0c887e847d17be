package org.sequoiahub.core.holding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many dropped adapters a runner still brings back quickly, learnt from those it brought back.
 *
 * <p>No record says it. Taken as too few, a request waits ten times as long as it needs to for an
 * adapter that its runner has in memory; as too many, it is sent too early and refused once.
 */
public final class WarmCapacity {

  /** An adapter this much deeper than any that came back quickly is tried as one that does. */
  private static final double PROBE_FACTOR = 1.5;

  private double known;
  private double ceiling = Double.POSITIVE_INFINITY;

  /**
   * Creates an estimate.
   *
   * @param prior how many are believed before any was brought back
   */
  public WarmCapacity(int prior) {
    checkArgument(prior > 0, "prior must be above 0, was %s", prior);
    this.known = prior;
  }

  /** Returns whether an adapter is expected to come quickly that was dropped so many drops ago. */
  boolean expectsFastReload(int depth) {
    return depth < Math.min(known * PROBE_FACTOR, ceiling);
  }

  /** Returns how many are believed. */
  public int size() {
    return (int) Math.min(known, ceiling);
  }

  /** Records that an adapter came quickly. */
  void recordFastReload(int depth) {
    known = Math.max(known, depth + 1);
    ceiling = Math.max(ceiling, known);
  }

  /** Records that one came from the store after all. */
  void recordSlowReload(int depth) {
    ceiling = Math.max(1, Math.min(ceiling, depth));
    known = Math.min(known, ceiling);
  }
}
