package org.sequoiahub.core.runner;

/**
 * The weights and limits of one runner's decisions.
 *
 * @param queueLimit the maximum number of queued requests
 * @param briefAgeMillis the wait after which a brief is treated as interactive (ms)
 * @param drainAfterMillis the wait for a slot after which a busy slot is drained for an adapter
 *     (ms)
 * @param orderLifetimeMillis how long an order or request of unknown outcome may still reach the
 *     engine after its connection was abandoned (ms)
 * @param requestLimitMillis the maximum time that a request runs (ms)
 * @param evictByPopularity whether the least popular adapter is evicted instead of the least
 *     recently used one
 */
public record PolicySettings(
    int queueLimit,
    long briefAgeMillis,
    long drainAfterMillis,
    long orderLifetimeMillis,
    long requestLimitMillis,
    boolean evictByPopularity) {

  /** Returns settings that minimize load stalls: slots are drained early for waiting adapters. */
  public static PolicySettings ashcombe() {
    return new PolicySettings(256, 3_000, 1_500, 5_000, 120_000, true);
  }

  /**
   * Returns settings that favor batch efficiency: slots keep an adapter while its batch is filled.
   */
  public static PolicySettings dhuwaan() {
    return new PolicySettings(256, 6_000, 4_000, 5_000, 120_000, true);
  }

  /** Returns these settings with other limits. */
  public PolicySettings withLimits(int newQueueLimit, long newRequestLimitMillis) {
    return new PolicySettings(
        newQueueLimit,
        briefAgeMillis,
        drainAfterMillis,
        orderLifetimeMillis,
        newRequestLimitMillis,
        evictByPopularity);
  }
}
