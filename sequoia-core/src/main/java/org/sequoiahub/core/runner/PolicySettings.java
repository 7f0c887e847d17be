package org.sequoiahub.core.runner;

/**
 * The weights and limits of one runner's decisions.
 *
 * @param queueLimit most requests queued
 * @param briefAgeMillis a brief that waited this long is taken as if it were interactive
 * @param drainAfterMillis an adapter that waited this long for a slot makes a busy slot drain
 * @param orderLifetimeMillis how long an order or request of unknown outcome may still reach the
 *     engine after its connection was given up
 * @param requestLimitMillis no request outlives this
 * @param evictByPopularity whether the least popular adapter is evicted, else the least recently
 *     used
 */
public record PolicySettings(
    int queueLimit,
    long briefAgeMillis,
    long drainAfterMillis,
    long orderLifetimeMillis,
    long requestLimitMillis,
    boolean evictByPopularity) {

  /** Load stalls weigh most: slots turn over quickly. */
  public static PolicySettings ashcombe() {
    return new PolicySettings(256, 3_000, 1_500, 5_000, 120_000, true);
  }

  /** Batch efficiency weighs most: slots stay while their batch is filled. */
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
