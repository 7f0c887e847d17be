package org.sequoiahub.core.workspace;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.call.Generation;

/**
 * The amount that a workspace may use on all hosts together.
 *
 * @param perSecond the units per second; 0 for no limit
 * @param burst the units that may be used in addition after a time of low use
 * @param unit the unit that is counted
 * @param plainTokens the number of tokens that a request without a generation counts as
 */
public record Allowance(double perSecond, double burst, Unit unit, int plainTokens) {

  /** No limit. */
  public static final Allowance UNLIMITED = new Allowance(0, 0, Unit.REQUESTS, 0);

  /** The unit that an allowance counts. */
  public enum Unit {
    /** Each request counts as one. */
    REQUESTS,
    /** A request counts as the tokens of its prompt plus the maximum that it may generate. */
    TOKENS
  }

  /** Checks the arguments. */
  public Allowance {
    checkArgument(perSecond >= 0, "perSecond must not be negative, was %s", perSecond);
    checkArgument(burst >= 0, "burst must not be negative, was %s", burst);
    checkArgument(plainTokens >= 0, "plainTokens must not be negative, was %s", plainTokens);
    requireNonNull(unit, "unit must not be null");
  }

  /** Returns whether there is a limit. */
  public boolean isLimited() {
    return perSecond > 0;
  }

  /**
   * Returns the cost of a request in units.
   *
   * @param generation the request's generation; null for a plain request
   */
  public long cost(@Nullable Generation generation) {
    if (unit == Unit.REQUESTS) {
      return 1;
    }
    if (generation == null || generation.promptTokens() + generation.maxOutputTokens() == 0) {
      return plainTokens;
    }
    return (long) generation.promptTokens() + generation.maxOutputTokens();
  }
}
