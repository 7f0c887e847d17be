package org.sequoiahub.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings that determine when a prompt part is quarantined.
 *
 * @param threshold the number of terminations from which a part is quarantined
 * @param thresholdAfterHistoryLoss the threshold while the fleet may have lost records of
 *     terminations, if one of the known ones is confirmed
 * @param thresholdKnownGood the threshold for a part with which requests were served recently
 * @param minSimultaneous the minimum number of runners that terminate together before each of these
 *     terminations counts
 * @param simultaneousMillis the longest time between terminations that are attributed to one event
 *     (ms)
 * @param maxTerminations the maximum number of terminations that are remembered per part
 */
public record PartQuarantineSettings(
    int threshold,
    int thresholdAfterHistoryLoss,
    int thresholdKnownGood,
    int minSimultaneous,
    long simultaneousMillis,
    int maxTerminations) {

  /**
   * The settings that hosts use.
   *
   * <ul>
   *   <li>{@code threshold}: three terminations. After one, each part in flight on that runner is
   *       equally suspect; after two, a few are still suspect by coincidence.
   *   <li>{@code thresholdAfterHistoryLoss}: two, as a part that was quarantined before would
   *       otherwise terminate three more runners. Live runners lose answers, too, so that one of
   *       the two must be confirmed.
   *   <li>{@code thresholdKnownGood}: four. A part that is often used is in flight at many
   *       terminations, but requests with it are also served between them.
   *   <li>{@code minSimultaneous}: three, as a failure domain of a small fleet has two runners.
   *   <li>{@code simultaneousMillis}: 20 ms, within which hosts notice the end of a runner.
   *   <li>{@code maxTerminations}: 32. Simultaneous terminations are compared with those of all
   *       runners, so that many must be known if runners terminate quickly.
   * </ul>
   */
  public static final PartQuarantineSettings DEFAULT =
      new PartQuarantineSettings(3, 2, 4, 3, 20, 32);

  /** Checks the arguments. */
  public PartQuarantineSettings {
    checkArgument(
        thresholdAfterHistoryLoss > 1,
        "thresholdAfterHistoryLoss must be above 1, was %s",
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
    checkArgument(minSimultaneous > 1, "minSimultaneous must be above 1, was %s", minSimultaneous);
    checkArgument(
        simultaneousMillis >= 0,
        "simultaneousMillis must not be negative, was %s",
        simultaneousMillis);
    checkArgument(
        maxTerminations >= thresholdKnownGood,
        "maxTerminations must be %s or more, was %s",
        thresholdKnownGood,
        maxTerminations);
  }
}
