package org.sequoiahub.core.route;

/**
 * Settings that weigh the criteria for choosing a runner.
 *
 * @param candidateCount the number of candidate runners that are compared
 * @param loadCostMillis the cost of sending a request to a runner that has not loaded its adapter,
 *     as milliseconds of waiting
 * @param minActiveShare the minimum share of a pool that is used, above 0; 1 spreads work over the
 *     whole pool
 * @param batchFillWeight whether partly filled batches are preferred: if above 0, busier runners
 *     are preferred up to a full batch; if 0, the emptiest
 */
public record RouteSettings(
    int candidateCount, double loadCostMillis, double batchFillWeight, double minActiveShare) {

  /** Returns settings that weigh load stalls most, for deployments where a load is expensive. */
  public static RouteSettings ashcombe() {
    return new RouteSettings(4, 4_000, 0, 1);
  }

  /**
   * Returns settings that weigh batch efficiency most: batches are filled before another runner is
   * used.
   */
  public static RouteSettings dhuwaan() {
    return new RouteSettings(4, 4_000, 1, 0.7);
  }
}
