package org.sequoiahub.core.verdict;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.function.Function;

/**
 * States whether a request may have run upstream.
 *
 * <p>Only a hop that never forwarded the request, or that holds a confirmation, may create a {@link
 * NotRun}. Everything that cannot be distinguished from a lost response is a {@link MayHaveRun}.
 */
public sealed interface Verdict {

  /**
   * The request has not run and will not run.
   *
   * @param reason a stable code for programs, such as {@code queue-full}
   * @param message what happened and what to do, for people
   * @param retryAfterMillis when a repeat is likely to be admitted; 0 if a repeat is pointless
   */
  record NotRun(String reason, String message, long retryAfterMillis) implements Verdict {
    /** Checks the arguments. */
    public NotRun {
      requireNonNull(reason, "reason must not be null");
      requireNonNull(message, "message must not be null");
      checkArgument(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
    }
  }

  /** The request ran and its response is known. */
  record Ran() implements Verdict {}

  /**
   * No reachable host or runner can tell whether the request ran.
   *
   * @param reason a stable code for programs
   * @param message what happened and what to do, for people
   */
  record MayHaveRun(String reason, String message) implements Verdict {
    /** Checks the arguments. */
    public MayHaveRun {
      requireNonNull(reason, "reason must not be null");
      requireNonNull(message, "message must not be null");
    }
  }

  /** Applies the function that matches the type of this verdict. */
  default <T> T fold(
      Function<NotRun, T> notRun, Function<Ran, T> ran, Function<MayHaveRun, T> mayHaveRun) {
    if (this instanceof NotRun n) {
      return notRun.apply(n);
    }
    if (this instanceof MayHaveRun m) {
      return mayHaveRun.apply(m);
    }
    return ran.apply((Ran) this);
  }

  /**
   * Combines the verdicts of two attempts at one request into the weakest claim that covers both.
   *
   * <p>A rejected retry must not hide that an earlier attempt may have run: a caller that reads
   * {@code NotRun} would repeat a booking that exists already.
   */
  default Verdict combinedWith(Verdict other) {
    requireNonNull(other, "other must not be null");
    return strength() >= other.strength() ? this : other;
  }

  private int strength() {
    return fold(notRun -> 0, ran -> 2, mayHaveRun -> 1);
  }
}
