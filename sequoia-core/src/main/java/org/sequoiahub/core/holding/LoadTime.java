package org.sequoiahub.core.holding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how long an adapter takes to load from the weight store.
 *
 * <p>No record states the load time; known deployments specify 250 and 288 ms. Requests are sent at
 * the moment the adapter is expected to be ready. With an estimate 38 ms too short, a fifth of all
 * requests is rejected once, and each spends retry budget; an estimate that is too long delays
 * every first request. The estimate is therefore corrected by the requests that arrive too early.
 */
public final class LoadTime {

  /**
   * Upper bound of the estimate (ms). Longer loads are due to a slow weight store, not to an
   * estimate that is too short.
   */
  private static final double MAX_MILLIS = 1_000;

  /**
   * Increase for each request that arrived too early (ms); two of them cover the difference between
   * the specified load times.
   */
  private static final double STEP_MILLIS = 20;

  /**
   * Decrease for each load (ms), so that the estimate recovers after a fault has slowed down loads
   * temporarily. As a consequence, one load in twenty is expected too early.
   */
  private static final double DECAY_MILLIS = 1;

  private final double minMillis;
  private double millis;

  /**
   * Creates an estimate.
   *
   * @param minMillis the initial value and lower bound of the estimate (ms)
   */
  public LoadTime(long minMillis) {
    checkArgument(minMillis > 0, "minMillis must be above 0, was %s", minMillis);
    this.minMillis = minMillis;
    this.millis = minMillis;
  }

  /** Returns the expected load time (ms). */
  public long millis() {
    return Math.round(millis);
  }

  /** Records that a load was ordered. */
  public void recordOrdered() {
    millis = Math.max(minMillis, millis - DECAY_MILLIS);
  }

  /** Records that an adapter was not ready when it was expected to be. */
  public void recordLate() {
    millis = Math.min(MAX_MILLIS, millis + STEP_MILLIS);
  }
}
