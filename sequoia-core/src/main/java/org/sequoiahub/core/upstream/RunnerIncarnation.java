package org.sequoiahub.core.upstream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One life of a runner: the id that it answers to and when its process started.
 *
 * <p>A runner may start again under the id that it had. It then holds nothing of before and its
 * counts begin anew; whatever was known of the earlier life (what it holds, how it fares, what is
 * in flight there, what it was ordered) is kept under the earlier incarnation and says nothing of
 * this one.
 *
 * @param runner the id that the runner answers to
 * @param startedAtMillis the time of day of its start (ms since 1970); {@link #UNKNOWN_START} if it
 *     does not say
 */
public record RunnerIncarnation(String runner, long startedAtMillis) {

  /** The start of a runner that does not tell it; earlier than any other. */
  public static final long UNKNOWN_START = 0;

  /** Checks the arguments. */
  public RunnerIncarnation {
    checkArgument(!runner.isEmpty(), "runner must not be empty");
    checkArgument(startedAtMillis >= 0, "startedAtMillis must not be negative");
  }

  /** Returns the incarnation of a runner that does not tell when it started. */
  public static RunnerIncarnation of(String runner) {
    return new RunnerIncarnation(runner, UNKNOWN_START);
  }

  /** Returns a text that names this incarnation and no other. */
  public String key() {
    return startedAtMillis == UNKNOWN_START ? runner : runner + "/" + startedAtMillis;
  }

  /** Returns whether this is an earlier life than another of the same runner. */
  public boolean isBefore(RunnerIncarnation other) {
    return startedAtMillis < other.startedAtMillis;
  }
}
