package org.sequoiahub.core.holding;

/**
 * Times that a runner's adapters take.
 *
 * @param loadMillis an adapter from the weight store
 * @param reloadMillis an adapter that the runner held a short while ago
 * @param warmCapacity how many adapters a runner can have dropped and still reload fast
 * @param minTransitLimit adapters on their way over all runners before each takes longer
 * @param maxTransitPerRunner adapters on their way to one runner at most
 * @param minIdleMillis how long an adapter must have been unused before it makes way
 * @param modelRetryMillis how long after an order for a model the next one is given
 * @param delayMillis how much later an adapter is expected that was not there when it should be
 * @param maxReportAgeMillis how old a report may be; one read sooner after an order may not show it
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

  /** Runners for each adapter that may be on its way at full speed; see {@link #forFleet}. */
  private static final double FULL_SPEED_LOADS_PER_RUNNER = 0.6;

  /**
   * The figures that the users' sheets give: 250 ms a load, a tenth of it for one held recently, 8
   * at full speed over all runners, 4 at a runner, reports up to 200 ms old. {@code idleMillis} is
   * two and a half times the time in which other hosts tell what they have in flight (40 ms);
   * {@code remembered} is a guess below what runners were seen to keep.
   */
  public static final ResidencySettings DEFAULT =
      new ResidencySettings(250, 25, 32, 8, 4, 100, 5_000, 40, 500);

  /**
   * In a large fleet what a host has in flight reaches the holder through a delegate (ms): up to
   * 100 for the host's word, 150 for the digest, and 150 more if one is lost. An adapter that is
   * dropped sooner may have a request on its way, which is refused.
   */
  private static final long DELEGATED_MIN_IDLE_MILLIS = 400;

  /**
   * Returns the settings of a fleet of {@code runners}: the store of a larger one brings more at
   * once, though no record says how many; the users' sheets have 8 for 8 and 13 runners, 32 for 42
   * and 40 for 63.
   *
   * @param large whether hosts tell each other what they have in flight through delegates
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
