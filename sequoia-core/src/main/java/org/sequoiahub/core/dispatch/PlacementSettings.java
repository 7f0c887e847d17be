package org.sequoiahub.core.dispatch;

import org.sequoiahub.core.capacity.RunnerSpeed;

/**
 * The weights of the choice of a runner. All costs are expressed in milliseconds of expected delay.
 *
 * @param readTokensPerMilli the number of prompt tokens that a runner reads per millisecond, by
 *     which the loads of runners are compared for a shortlist; the choice itself uses {@link
 *     Candidate#speed}
 * @param slotWaitMillis the wait per request ahead that exceeds the runner's slots
 * @param perRequestMillis by how much each request in flight at a runner slows down the others
 * @param noRoomMillis the wait for an adapter place if all adapters of a runner are in use
 * @param noHolderMillis the wait for a holder if no host may order the runner yet
 * @param failurePenaltyMillis the cost of a failed request, multiplied by the failure rate
 * @param vanishedPenaltyMillis the cost of a runner that may have terminated
 * @param otherDomainPenaltyMillis the cost of leaving the failure domain; traffic between domains
 *     is expensive
 * @param loadPenaltyMillis the cost of loading an adapter, in addition to the wait for it
 * @param moveThresholdMillis the minimum gain for a waiting request to move to another runner; the
 *     time of one load
 * @param rankPenaltyMillis the addition to {@code loadPenaltyMillis} for each runner that precedes
 *     this one in the adapter's ranking
 * @param chunkTokens the number of prompt tokens that a runner reads in one step
 * @param chunkTokensPerMilli the number of these tokens read per millisecond, including the cost of
 *     long contexts
 * @param latePenaltyMillis the cost of a first event after its target latency
 * @param pausePenaltyMillis the cost of pausing one stream for too long
 * @param pauseMarginMillis the part of the accepted pause reserved for steps and the network
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
   * The default weights.
   *
   * <p>The waits are the delays that occur in the respective case, such as one and a half leases
   * until there is a new holder.
   *
   * <p>A request in flight costs 12 ms. With a much lower cost requests accumulate at one runner,
   * whose streams then pause, while a new runner stays nearly idle.
   *
   * <p>A load costs 700 ms and a late first event 1,000 ms, which is about what each costs the
   * callers of a deployment. Chunks of 4,096 tokens take 107 ms and, in contexts of 8,000 tokens,
   * 25 to 38 ms more.
   */
  public static final PlacementSettings DEFAULT =
      new PlacementSettings(
          RunnerSpeed.DEFAULT.prefillTokensPerMilli(),
          30,
          12,
          100,
          4_500,
          3_000,
          2_000,
          2,
          700,
          250,
          100,
          4_096,
          31,
          1_000,
          100,
          80);
}
