package org.sequoiahub.core.holding;

/**
 * What a holder has learnt from the loads of all its runners.
 *
 * @param loadTime how long an adapter takes from the weight store
 * @param transitLimit how many may be on their way before each takes longer
 * @param warmCapacity how many dropped adapters a runner still brings back quickly
 */
public record LoadEstimates(LoadTime loadTime, TransitLimit transitLimit, WarmCapacity warmCapacity) {

  /** Returns the estimates of a fleet of which nothing was seen yet. */
  public static LoadEstimates of(ResidencySettings settings, int runners) {
    return new LoadEstimates(
        new LoadTime(settings.loadMillis()),
        new TransitLimit(settings.minTransitLimit(), runners * settings.maxTransitPerRunner()),
        new WarmCapacity(settings.warmCapacity()));
  }
}
