package org.sequoiahub.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When a request is held back, and for how long.
 *
 * @param pointsToHold a request is held back from so many points on; see {@link #points}
 * @param pointsToHoldAfterLoss the same while the fleet may have forgotten ends
 * @param pointsToHoldKnownGood the same for a request that had a good answer lately
 * @param knownGoodMillis how long a good answer is remembered
 * @param suspicionMillis how long an end counts that is not proved
 * @param holdMillis how long a request is held back after the last end under it
 * @param rememberMillis how long a proved end is remembered
 * @param maxRequests requests that are remembered at most, of each kind
 * @param maxEndsPerRequest ends that are remembered of each at most
 */
public record QuarantineSettings(
    int pointsToHold,
    int pointsToHoldAfterLoss,
    int pointsToHoldKnownGood,
    long knownGoodMillis,
    long suspicionMillis,
    long holdMillis,
    long rememberMillis,
    int maxRequests,
    int maxEndsPerRequest) {

  private static final int POINTS_OF_AN_END = 2;
  private static final int POINTS_IF_BEGUN = 1;

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
        pointsToHoldAfterLoss > POINTS_OF_AN_END,
        "pointsToHoldAfterLoss must be above %s, was %s",
        POINTS_OF_AN_END,
        pointsToHoldAfterLoss);
    checkArgument(
        pointsToHold >= pointsToHoldAfterLoss,
        "pointsToHold must be %s or more, was %s",
        pointsToHoldAfterLoss,
        pointsToHold);
    checkArgument(
        pointsToHoldKnownGood >= pointsToHold,
        "pointsToHoldKnownGood must be %s or more, was %s",
        pointsToHold,
        pointsToHoldKnownGood);
    checkArgument(maxRequests > 0, "maxRequests must be above 0, was %s", maxRequests);
    checkArgument(
        maxEndsPerRequest * POINTS_IF_BEGUN >= pointsToHoldKnownGood,
        "maxEndsPerRequest must be %s or more, was %s",
        pointsToHoldKnownGood,
        maxEndsPerRequest);
    checkArgument(
        suspicionMillis <= holdMillis && holdMillis <= rememberMillis,
        "suspicionMillis, holdMillis and rememberMillis must not fall");
  }

  /**
   * Returns how much an end says against its request: two points, but one if the answer had begun.
   * A request that ends runners mostly does so when they begin to run it, and most of the others
   * that go with it have begun by then.
   */
  public static int points(RunnerEnd end) {
    return end.begun() ? POINTS_IF_BEGUN : POINTS_OF_AN_END;
  }
}
