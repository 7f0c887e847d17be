package org.sequoiahub.core.dispatch;

import org.sequoiahub.core.routing.RepeatPolicy;

/** Decides whether a request is sent to a runner again after an unsuccessful attempt. */
public final class RetryRule {

  /** Maximum number of times that one request is sent to runners, including rejected attempts. */
  public static final int MAX_SENDS = 4;

  /** Minimum time that a caller must still wait for a request to be sent again (ms). */
  public static final long MIN_LEFT_MILLIS = 15;

  private RetryRule() {}

  /** How an attempt ended. */
  public enum Ending {
    /** Nothing reached the runner. */
    NOT_SENT,
    /** The runner reported that it did not run the request. */
    REFUSED,
    /** The runner responded with an error of its own. */
    FAILED,
    /** The response was lost or interrupted: the request may have run. */
    LOST
  }

  /**
   * Returns whether the request may be sent to a runner again.
   *
   * @param ending how the last attempt ended
   * @param repetition how the request may be repeated
   * @param sends how often the request was sent
   * @param runs how many of these attempts may have run
   * @param maxAttempts the maximum number of runs that the route allows
   * @param leftMillis how long the caller still waits (ms)
   */
  public static boolean mayRetry(
      Ending ending,
      RepeatPolicy repetition,
      int sends,
      int runs,
      int maxAttempts,
      long leftMillis) {
    if (sends >= MAX_SENDS || leftMillis < MIN_LEFT_MILLIS) {
      return false;
    }
    boolean ranBefore = runs > 0;
    if (ranBefore && !repetition.allowsRerun()) {
      return false;
    }
    return switch (ending) {
      case NOT_SENT, REFUSED -> !ranBefore || runs < maxAttempts;
      case FAILED, LOST -> repetition.allowsRerun() && runs < maxAttempts;
    };
  }

  /** Returns whether sending the request again uses the retry budget: it has reached a runner. */
  public static boolean usesRetryBudget(Ending ending) {
    return ending != Ending.NOT_SENT;
  }
}
