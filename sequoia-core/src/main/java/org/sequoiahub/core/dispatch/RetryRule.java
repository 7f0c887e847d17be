package org.sequoiahub.core.dispatch;

import org.sequoiahub.core.routing.RepeatPolicy;

/** What follows an attempt that did not bring a good answer. */
public final class RetryRule {

  /** Most times that one request is offered to runners, refusals included. */
  public static final int MAX_SENDS = 4;

  /** A request with less time than this left is not offered again (ms). */
  public static final long MIN_LEFT_MILLIS = 15;

  private RetryRule() {}

  /** What is known of an attempt that ended. */
  public enum Ending {
    /** Nothing reached the runner. */
    NOT_SENT,
    /** The runner said that it did not run the request. */
    REFUSED,
    /** The runner answered with a failure of its own. */
    FAILED,
    /** The answer was lost or broken off: the request may have run. */
    LOST
  }

  /**
   * Returns whether the request may be offered to a runner again.
   *
   * @param sends how often it was offered
   * @param runs how many of these may have run
   * @param leftMillis how long the caller still waits
   */
  public static boolean mayOfferAgain(
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

  /** Returns whether offering it again draws on the retry budget: it reached a runner before. */
  public static boolean drawsOnBudget(Ending ending) {
    return ending != Ending.NOT_SENT;
  }
}
