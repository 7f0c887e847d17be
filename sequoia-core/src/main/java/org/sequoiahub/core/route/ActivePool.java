package org.sequoiahub.core.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * Chooses how many runners of a pool share its work, so that batches are filled before another
 * runner is used.
 *
 * <p>Every entry ranks a pool's runners alike and uses the first few of that ranking, so entries
 * agree without talking but for the number, which each works out from its own requests in flight
 * and the number of entries. It grows at once and shrinks slowly: a runner that is left loses its
 * adapters.
 *
 * <p>Not thread-safe: one duty owns it, one for each base model.
 */
public final class ActivePool {

  private static final double SHRINK_HALF_LIFE_MILLIS = 60_000;

  /** Places in batches for each request in flight: entries' estimates of the load vary. */
  private static final double HEADROOM = 1.3;

  private final double minActiveShare;
  private double smoothedInFlight;
  private long smoothedAtMillis;

  /**
   * Creates the chooser of one pool.
   *
   * @param leastShare the least share of the pool that is used, above 0 to 1; 1 uses all of it.
   *     Fewer runners hold fewer adapters, and the weight store bounds how few that may be
   */
  public ActivePool(double leastShare) {
    checkArgument(leastShare > 0 && leastShare <= 1, "leastShare must be above 0 to 1");
    this.minActiveShare = leastShare;
  }

  /**
   * Returns the runners to use.
   *
   * @param baseModel the pool's base model
   * @param pool its runners that may be given new work
   * @param inFlight the estimated requests in flight in the whole pool
   */
  public List<Runner> select(String baseModel, List<Runner> pool, double inFlight, long nowMillis) {
    if (minActiveShare == 1 || pool.isEmpty()) {
      return pool;
    }
    double decay = Math.pow(0.5, (nowMillis - smoothedAtMillis) / SHRINK_HALF_LIFE_MILLIS);
    smoothedInFlight = Math.max(inFlight, inFlight + (smoothedInFlight - inFlight) * decay);
    smoothedAtMillis = nowMillis;
    int batch = pool.get(0).batch();
    int forLoad = (int) Math.ceil(smoothedInFlight * HEADROOM / batch);
    int least = (int) Math.ceil(pool.size() * minActiveShare);
    int count = Math.min(pool.size(), Math.max(least, forLoad));
    return Rendezvous.spread(
        baseModel, pool, count, Runner::id, Runner::failureDomain, runner -> 1);
  }
}
