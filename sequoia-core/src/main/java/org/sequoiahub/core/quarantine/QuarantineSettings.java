package org.sequoiahub.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When a request is held back, and for how long.
 *
 * @param threshold a request is held back from so many points on; see {@link #points}
 * @param thresholdAfterHistoryLoss the same while the fleet may have forgotten ends
 * @param thresholdKnownGood the same for a request that had a good answer lately
 * @param knownGoodMillis how long a good answer is remembered
 * @param unconfirmedRetentionMillis how long an end counts that is not proved
 * @param quarantineMillis how long a request is held back after the last end under it
 * @param confirmedRetentionMillis how long a proved end is remembered
 * @param maxRequests requests that are remembered at most, of each kind
 * @param maxTerminationsPerRequest ends that are remembered of each at most
 */
public record QuarantineSettings(
    int threshold,
    int thresholdAfterHistoryLoss,
    int thresholdKnownGood,
    long knownGoodMillis,
    long unconfirmedRetentionMillis,
    long quarantineMillis,
    long confirmedRetentionMillis,
    int maxRequests,
    int maxTerminationsPerRequest) {

  private static final int POINTS_BEFORE_RESPONSE = 2;
  private static final int POINTS_AFTER_RESPONSE_START = 1;

  /**
   * Six points, three ends before any answer began: after one, each of the requests that were in
   * flight with the guilty one is as suspect as that one; after two, about one in as many as there
   * are runners. Four, after all hosts were down: a request that was held back before would take
   * three more runners. Twelve, if it had a good answer within five minutes: what callers ask again
   * and again is in flight at many ends, and an engine that has changed since may still end under
   * it.
   *
   * <p>20 s: the store drops a silent runner's entry after 3.6 s, hosts learn of it within a second
   * more, and the rest bridges an outage of the store. 10 min: each trial costs a runner with all
   * it has in flight, and an operator who mends an adapter or an engine needs minutes. One hour:
   * until then a single end brings the hold back. Twice 4,096 requests of 12 ends of 64 bytes take
   * 7 MB at most.
   */
  public static final QuarantineSettings DEFAULT =
      new QuarantineSettings(6, 4, 12, 300_000, 20_000, 600_000, 3_600_000, 4_096, 12);

  /** Checks the figures. */
  public QuarantineSettings {
    checkArgument(
        thresholdAfterHistoryLoss > POINTS_BEFORE_RESPONSE,
        "pointsToHoldAfterLoss must be above %s, was %s",
        POINTS_BEFORE_RESPONSE,
        thresholdAfterHistoryLoss);
    checkArgument(
        threshold >= thresholdAfterHistoryLoss,
        "pointsToHold must be %s or more, was %s",
        thresholdAfterHistoryLoss,
        threshold);
    checkArgument(
        thresholdKnownGood >= threshold,
        "pointsToHoldKnownGood must be %s or more, was %s",
        threshold,
        thresholdKnownGood);
    checkArgument(maxRequests > 0, "maxRequests must be above 0, was %s", maxRequests);
    checkArgument(
        maxTerminationsPerRequest * POINTS_AFTER_RESPONSE_START >= thresholdKnownGood,
        "maxEndsPerRequest must be %s or more, was %s",
        thresholdKnownGood,
        maxTerminationsPerRequest);
    checkArgument(
        unconfirmedRetentionMillis <= quarantineMillis
            && quarantineMillis <= confirmedRetentionMillis,
        "suspicionMillis, holdMillis and rememberMillis must not fall");
  }

  /**
   * Returns how much an end says against its request: two points, but one if the answer had begun.
   * A request that ends runners mostly does so when they begin to run it, and most of the others
   * that go with it have begun by then.
   */
  public static int points(RunnerTermination end) {
    return end.responseStarted() ? POINTS_AFTER_RESPONSE_START : POINTS_BEFORE_RESPONSE;
  }
}
