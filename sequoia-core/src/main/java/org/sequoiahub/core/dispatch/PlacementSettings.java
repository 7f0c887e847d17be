package org.sequoiahub.core.dispatch;

/**
 * What a choice of a runner weighs, all in milliseconds of expected delay.
 *
 * @param readTokensPerMilli prompt tokens that a runner reads in a millisecond
 * @param slotWaitMillis wait for each request that is ahead beyond the runner's slots
 * @param perRequestMillis how much each request that runs there slows the others
 * @param noRoomMillis wait for a place when all adapters of a runner are in use
 * @param noHolderMillis wait for a host that may order the runner
 * @param failurePenaltyMillis cost of a request that certainly fails
 * @param vanishedPenaltyMillis cost of a runner that may be gone
 * @param otherDomainPenaltyMillis cost of leaving the failure domain; bytes between domains are
 *     dear
 * @param loadPenaltyMillis cost, beyond the wait, of bringing an adapter to a runner
 * @param moveThresholdMillis what a request that waits must gain to wait elsewhere: one load
 * @param rankPenaltyMillis the same for each runner before it in the adapter's order
 * @param chunkTokens prompt tokens that a runner reads in one step
 * @param chunkTokensPerMilli how fast it reads them, with what long contexts cost
 * @param latePenaltyMillis cost of a first event after its target latency
 * @param pausePenaltyMillis cost of pausing one stream for too long
 * @param pauseMarginMillis part of a bearable pause that is left for steps and the network
 */
public record PlacementSettings(
    double readTokensPerMilli,
    long slotWaitMillis,
    double perRequestMillis,
    long noRoomMillis,
    long noHolderMillis,
    long failurePenaltyMillis,
    long vanishedPenaltyMillis,
    long otherDomainPenaltyMillis,
    long loadPenaltyMillis,
    long moveThresholdMillis,
    long rankPenaltyMillis,
    int chunkTokens,
    double chunkTokensPerMilli,
    long latePenaltyMillis,
    long pausePenaltyMillis,
    long pauseMarginMillis) {

  /**
   * Reading speed from the users' sheets (38.7 and 38.4 tokens a millisecond, less a tenth for the
   * steps between); the rest are the delays seen when the case occurs: a lease and a half for a new
   * holder. A request in flight weighs 12 ms: with 4 ms, 51 requests ran at one runner while 5 ran
   * at one that had just come, and streams at the first paused. A fetch weighs 700 ms and a late
   * first event 1,000, about what each costs the callers of a deployment. Pieces of 4,096 tokens
   * take 107 ms and, in contexts of 8,000 tokens, 25 to 38 ms more.
   */
  public static final PlacementSettings DEFAULT =
      new PlacementSettings(
          35, 30, 12, 100, 4_500, 3_000, 2_000, 2, 700, 250, 100, 4_096, 31, 1_000, 100, 80);
}
