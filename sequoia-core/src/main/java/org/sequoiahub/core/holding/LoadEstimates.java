package org.sequoiahub.core.holding;

/**
 * Estimates that a holder derives from the loads of all its runners.
 *
 * @param loadTime how long an adapter takes to load from the weight store
 * @param reloadTime how long an adapter takes that the runner still has in memory
 * @param transitLimit how many adapters may be in transit before each load takes longer
 * @param warmCapacity how many unloaded adapters a runner can still reload quickly
 */
public record LoadEstimates(
    LoadTime loadTime,
    ReloadTime reloadTime,
    TransitLimit transitLimit,
    WarmCapacity warmCapacity) {

  /** Returns the initial estimates for a fleet in which no load was observed yet. */
  public static LoadEstimates of(ResidencySettings settings, int runners) {
    return new LoadEstimates(
        new LoadTime(settings.loadMillis()),
        new ReloadTime(settings.reloadMillis()),
        new TransitLimit(settings.minTransitLimit(), runners * settings.maxTransitPerRunner()),
        new WarmCapacity(settings.warmCapacity()));
  }
}
