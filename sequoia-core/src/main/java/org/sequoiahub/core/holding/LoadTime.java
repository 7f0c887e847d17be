package org.sequoiahub.core.holding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long an adapter takes from the weight store, learnt from the requests that came too early.
 *
 * <p>No record says it; the users' sheets have 250 and 288 ms. Requests are sent the moment that an
 * adapter is expected to be there: expected 38 ms too soon, a fifth of all requests was refused
 * once, each drawing on the retry budget. Expected too late, each first request waits in vain.
 */
public final class LoadTime {

  /** Longest time that is believed (ms): beyond it the store is slow, not the estimate short. */
  private static final double MAX_MILLIS = 1_000;

  /** Added for each request that came too early (ms): two of them cover the sheets' difference. */
  private static final double STEP_MILLIS = 20;

  /**
   * Taken off for each load (ms), so that a fault that made loads slow for a while is forgotten;
   * one load in twenty is then expected too soon.
   */
  private static final double DECAY_MILLIS = 1;

  private final double minMillis;
  private double millis;

  /**
   * Creates an estimate.
   *
   * @param leastMillis the shortest time that is ever expected
   */
  public LoadTime(long leastMillis) {
    checkArgument(leastMillis > 0, "leastMillis must be above 0, was %s", leastMillis);
    this.minMillis = leastMillis;
    this.millis = leastMillis;
  }

  /** Returns the expected time (ms). */
  public long millis() {
    return Math.round(millis);
  }

  /** Records that a load was ordered. */
  public void recordOrdered() {
    millis = Math.max(minMillis, millis - DECAY_MILLIS);
  }

  /** Records that an adapter was not there when it was expected to be. */
  public void recordLate() {
    millis = Math.min(MAX_MILLIS, millis + STEP_MILLIS);
  }
}
