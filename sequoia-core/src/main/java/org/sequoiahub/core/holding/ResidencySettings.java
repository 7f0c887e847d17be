package org.sequoiahub.core.holding;

/**
 * Timing and limits of loading adapters and base models at the runners.
 *
 * @param loadMillis how long an adapter takes to load from the weight store (ms)
 * @param reloadMillis how long an adapter takes to load that the runner held recently (ms)
 * @param warmCapacity the initial estimate of how many unloaded adapters a runner can reload
 *     quickly
 * @param minTransitLimit the initial and lowest estimate of how many adapters may be in transit
 *     over all runners before each load takes longer
 * @param maxTransitPerRunner the maximum number of adapters in transit to one runner
 * @param minIdleMillis how long an adapter must have been unused before it may be unloaded for
 *     another one (ms)
 * @param modelRetryMillis the minimum time between two orders for a base model (ms)
 * @param delayMillis the postponement of an adapter that is not ready when expected, and the pause
 *     after a rejected order (ms)
 * @param maxReportAgeMillis the maximum age of a report (ms); a report fetched sooner after an
 *     order may not reflect the order
 */
public record ResidencySettings(
    long loadMillis,
    long reloadMillis,
    int warmCapacity,
    int minTransitLimit,
    int maxTransitPerRunner,
    long minIdleMillis,
    long modelRetryMillis,
    long delayMillis,
    long maxReportAgeMillis) {

  /** Adapters per runner that the weight store loads at full speed; see {@link #forFleet}. */
  private static final double FULL_SPEED_LOADS_PER_RUNNER = 0.6;

  /**
   * The values that known deployments specify: 250 ms per load, a tenth of it for an adapter held
   * recently, 8 loads at full speed over all runners, 4 at one runner, reports up to 200 ms old.
   *
   * <p>{@code minIdleMillis} is two and a half times the interval in which other hosts report what
   * they have in flight (40 ms). {@code warmCapacity} is below what runners were observed to keep.
   */
  public static final ResidencySettings DEFAULT =
      new ResidencySettings(250, 25, 32, 8, 4, 100, 5_000, 40, 500);

  /**
   * The {@code minIdleMillis} of a large fleet, in which the holder learns through a delegate what
   * another host has in flight: after up to 100 ms for the host's report, 150 ms for the digest,
   * and another 150 ms if a digest is lost. An adapter that is unloaded sooner may have a request
   * in flight, which the runner then rejects.
   */
  private static final long DELEGATED_MIN_IDLE_MILLIS = 400;

  /**
   * Returns the settings for a fleet of the given size.
   *
   * <p>The weight store of a larger fleet loads more adapters at once, but no record states how
   * many. Known deployments specify 8 for 8 and 13 runners, 32 for 42 and 40 for 63.
   *
   * @param runners the number of runners
   * @param large whether hosts report what they have in flight through delegates
   */
  public static ResidencySettings forFleet(int runners, boolean large) {
    int transit = Math.max(DEFAULT.minTransitLimit, (int) (runners * FULL_SPEED_LOADS_PER_RUNNER));
    return new ResidencySettings(
        DEFAULT.loadMillis,
        DEFAULT.reloadMillis,
        DEFAULT.warmCapacity,
        transit,
        DEFAULT.maxTransitPerRunner,
        large ? DELEGATED_MIN_IDLE_MILLIS : DEFAULT.minIdleMillis,
        DEFAULT.modelRetryMillis,
        DEFAULT.delayMillis,
        DEFAULT.maxReportAgeMillis);
  }
}
