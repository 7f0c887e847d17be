package org.sequoiahub.core.holding;

/**
 * What a holder has learnt from the loads of all its runners.
 *
 * @param time how long an adapter takes from the weight store
 * @param limit how many may be on their way before each takes longer
 * @param warm how many dropped adapters a runner still brings back quickly
 */
public record LoadEstimates(LoadTime time, TransitLimit limit, WarmCapacity warm) {

  /** Returns the estimates of a fleet of which nothing was seen yet. */
  public static LoadEstimates of(ResidencySettings settings, int runners) {
    return new LoadEstimates(
        new LoadTime(settings.loadMillis()),
        new TransitLimit(settings.freeTransit(), runners * settings.transitPerRunner()),
        new WarmCapacity(settings.remembered()));
  }
}
