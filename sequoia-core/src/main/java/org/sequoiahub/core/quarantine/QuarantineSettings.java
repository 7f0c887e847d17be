package org.sequoiahub.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings that determine when a request is quarantined, and for how long.
 *
 * <p>The thresholds are sums of {@link #points}.
 *
 * @param threshold the points from which a request is quarantined
 * @param thresholdAfterHistoryLoss the threshold while the fleet may have lost records of
 *     terminations
 * @param thresholdKnownGood the threshold for a request that recently had a successful response
 * @param knownGoodMillis how long a successful response is remembered
 * @param unconfirmedRetentionMillis how long an unconfirmed termination counts
 * @param quarantineMillis how long a request is quarantined after its last termination
 * @param confirmedRetentionMillis how long a confirmed termination counts
 * @param maxRequests the maximum number of requests that are remembered, of each kind
 * @param maxTerminationsPerRequest the maximum number of terminations that are remembered per
 *     request
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
   * The settings that hosts use.
   *
   * <ul>
   *   <li>{@code threshold}: 6 points are three terminations before a response started. After one,
   *       every request in flight on that runner is equally suspect; after two, about one in as
   *       many as there are runners is still suspect by coincidence.
   *   <li>{@code thresholdAfterHistoryLoss}: 4 points, after all hosts were down. A request that
   *       was quarantined before would otherwise terminate three more runners.
   *   <li>{@code thresholdKnownGood}: 12 points, if the request had a successful response within 5
   *       minutes. A frequently repeated request is in flight at many terminations, and an engine
   *       that has changed since may still terminate because of it.
   *   <li>{@code unconfirmedRetentionMillis}: 20 s. The store drops a silent runner's entry after
   *       3.6 s and hosts learn of it within another second; the rest bridges an outage of the
   *       store.
   *   <li>{@code quarantineMillis}: 10 minutes. Each trial costs a runner with everything it has in
   *       flight, and an operator needs minutes to fix an adapter or an engine.
   *   <li>{@code confirmedRetentionMillis}: one hour, during which a single termination restores
   *       the quarantine.
   *   <li>{@code maxRequests} and {@code maxTerminationsPerRequest}: twice 4,096 requests of 12
   *       terminations of 64 bytes take at most 7 MB.
   * </ul>
   */
  public static final QuarantineSettings DEFAULT =
      new QuarantineSettings(6, 4, 12, 300_000, 20_000, 600_000, 3_600_000, 4_096, 12);

  /** Checks the arguments. */
  public QuarantineSettings {
    checkArgument(
        thresholdAfterHistoryLoss > POINTS_BEFORE_RESPONSE,
        "thresholdAfterHistoryLoss must be above %s, was %s",
        POINTS_BEFORE_RESPONSE,
        thresholdAfterHistoryLoss);
    checkArgument(
        threshold >= thresholdAfterHistoryLoss,
        "threshold must be %s or more, was %s",
        thresholdAfterHistoryLoss,
        threshold);
    checkArgument(
        thresholdKnownGood >= threshold,
        "thresholdKnownGood must be %s or more, was %s",
        threshold,
        thresholdKnownGood);
    checkArgument(maxRequests > 0, "maxRequests must be above 0, was %s", maxRequests);
    checkArgument(
        maxTerminationsPerRequest * POINTS_AFTER_RESPONSE_START >= thresholdKnownGood,
        "maxTerminationsPerRequest must be %s or more, was %s",
        thresholdKnownGood,
        maxTerminationsPerRequest);
    checkArgument(
        unconfirmedRetentionMillis <= quarantineMillis
            && quarantineMillis <= confirmedRetentionMillis,
        "unconfirmedRetentionMillis, quarantineMillis and confirmedRetentionMillis"
            + " must be in ascending order");
  }

  /**
   * Returns the weight of a termination as evidence against its request: two points, or one if the
   * response had started.
   *
   * <p>A request that terminates runners mostly does so when processing starts; most of the other
   * requests in flight on the runner have started to respond by then.
   */
  public static int points(RunnerTermination termination) {
    return termination.responseStarted() ? POINTS_AFTER_RESPONSE_START : POINTS_BEFORE_RESPONSE;
  }
}
