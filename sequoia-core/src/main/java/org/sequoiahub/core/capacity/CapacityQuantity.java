package org.sequoiahub.core.capacity;

/** A quantity that is estimated for each runner. */
public enum CapacityQuantity {
  /** Prompt tokens read per millisecond at the usual pace. */
  PREFILL_TOKENS_PER_MILLI(RunnerSpeed.DEFAULT.prefillTokensPerMilli(), 0.3, 15_000),

  /** The time of a plain call at the usual pace on an otherwise empty runner (ms). */
  SERVICE_MILLIS(RunnerSpeed.DEFAULT.serviceMillis(), 0.2, 15_000),

  /**
   * How long work takes on the runner's machine, as a multiple of the usual time. It changes many
   * times a second around a level that holds for seconds, so that each statement counts much and
   * not for long.
   */
  PACE(RunnerSpeed.DEFAULT.pace(), 0.5, 2_000);

  private final double initial;
  private final double newestWeight;
  private final long halfLifeMillis;

  CapacityQuantity(double initial, double newestWeight, long halfLifeMillis) {
    this.initial = initial;
    this.newestWeight = newestWeight;
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Returns the value assumed before any observation. */
  double initial() {
    return initial;
  }

  /** Returns the weight of the newest observation in the average of a source. */
  double newestWeight() {
    return newestWeight;
  }

  /** Returns the time in which the weight of an observation falls to one half (ms). */
  long halfLifeMillis() {
    return halfLifeMillis;
  }
}
