package org.sequoiahub.core.route;

/**
 * The weights by which a runner is chosen.
 *
 * @param candidateCount how many candidates are compared
 * @param loadCostMillis what sending a request to a runner that lacks its adapter costs
 * @param minActiveShare the least share of a pool that is used; 1 spreads work over all of it
 * @param batchFillWeight how strongly a runner that is already busy, but not full, is preferred; 0
 *     prefers the emptiest
 */
public record RouteSettings(
    int candidateCount, double loadCostMillis, double batchFillWeight, double minActiveShare) {

  /** Load stalls weigh most: a load is expensive. */
  public static RouteSettings ashcombe() {
    return new RouteSettings(4, 4_000, 0, 1);
  }

  /** Batch efficiency weighs most: batches are filled before another runner is used. */
  public static RouteSettings dhuwaan() {
    return new RouteSettings(4, 4_000, 1, 0.7);
  }
}
