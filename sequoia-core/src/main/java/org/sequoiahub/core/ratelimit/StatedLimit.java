package org.sequoiahub.core.ratelimit;

import static com.google.common.base.Preconditions.checkArgument;

/** What a response of a runner states about the rate of requests that the runner takes. */
public sealed interface StatedLimit {

  /** The response states no limit. */
  record None() implements StatedLimit {}

  /**
   * The response states a limit.
   *
   * @param perSecond the number of requests per second that the runner takes from all hosts
   *     together; 0 if it takes none
   */
  record Rate(double perSecond) implements StatedLimit {
    /** Checks the argument. */
    public Rate {
      checkArgument(
          Double.isFinite(perSecond) && perSecond >= 0,
          "perSecond must be finite and not negative, was %s",
          perSecond);
    }
  }

  /**
   * The response states a limit that cannot be read; the last readable one remains in force.
   *
   * @param reason what is wrong with it, for a human reader
   */
  record Unreadable(String reason) implements StatedLimit {}
}
