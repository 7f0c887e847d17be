package org.sequoiahub.core.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * Selects the runners of a pool that share its work, so that batches are filled before another
 * runner is used.
 *
 * <p>All entries rank a pool's runners in the same order and use the first ones, so they agree
 * without coordination except for the number of runners. Each entry computes that number from its
 * own requests in flight and the number of entries. The number increases immediately but decreases
 * slowly, because a runner that is no longer used loses its adapters.
 *
 * <p>Not thread-safe: an instance serves one base model and is confined to one duty.
 */
public final class ActivePool {

  private static final double SHRINK_HALF_LIFE_MILLIS = 60_000;

  /** Batch capacity per request in flight; above 1 because the estimates of the entries vary. */
  private static final double HEADROOM = 1.3;

  private final double minActiveShare;
  private double smoothedInFlight;
  private long smoothedAtMillis;

  /**
   * Creates the selector of one pool.
   *
   * @param minActiveShare the minimum share of the pool that is used, above 0 and at most 1; 1 uses
   *     all of it. Fewer runners hold fewer adapters, and the weight store limits how few are
   *     possible
   */
  public ActivePool(double minActiveShare) {
    checkArgument(
        minActiveShare > 0 && minActiveShare <= 1, "minActiveShare must be above 0 and at most 1");
    this.minActiveShare = minActiveShare;
  }

  /**
   * Returns the runners to use.
   *
   * @param baseModel the pool's base model
   * @param pool its runners that may receive new work
   * @param inFlight the estimated number of requests in flight in the whole pool
   */
  public List<Runner> select(String baseModel, List<Runner> pool, double inFlight, long nowMillis) {
    if (minActiveShare == 1 || pool.isEmpty()) {
      return pool;
    }
    double decay = Math.pow(0.5, (nowMillis - smoothedAtMillis) / SHRINK_HALF_LIFE_MILLIS);
    smoothedInFlight = Math.max(inFlight, inFlight + (smoothedInFlight - inFlight) * decay);
    smoothedAtMillis = nowMillis;
    int batch = pool.get(0).batch();
    int neededForLoad = (int) Math.ceil(smoothedInFlight * HEADROOM / batch);
    int minCount = (int) Math.ceil(pool.size() * minActiveShare);
    int count = Math.min(pool.size(), Math.max(minCount, neededForLoad));
    return Rendezvous.spread(
        baseModel, pool, count, Runner::id, Runner::failureDomain, runner -> 1);
  }
}
