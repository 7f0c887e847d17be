package org.sequoiahub.core.upstream;

import static com.google.common.base.Preconditions.checkArgument;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * One life of a runner: the id that it answers to and when its process started.
 *
 * <p>A runner may start again under the id that it had. It then holds nothing of before and its
 * counts begin anew; whatever was known of the earlier life (what it holds, how it fares, what is
 * in flight there, what it was ordered) is kept under the earlier incarnation and says nothing of
 * this one.
 *
 * <p>A class and not a record, because it keeps its key and the key's hash: both are asked for at
 * each choice of a runner, and building them anew was 3% of the work of a host's decision thread.
 */
public final class RunnerIncarnation {

  /** The start of a runner that does not tell it; earlier than any other. */
  public static final long UNKNOWN_START = 0;

  private final String runner;
  private final long startedAtMillis;
  private final String key;
  private final long keyHash;

  /**
   * Creates an incarnation.
   *
   * @param runner the id that the runner answers to
   * @param startedAtMillis the time of day of its start (ms since 1970); {@link #UNKNOWN_START} if
   *     it does not say
   */
  public RunnerIncarnation(String runner, long startedAtMillis) {
    checkArgument(!runner.isEmpty(), "runner must not be empty");
    checkArgument(startedAtMillis >= 0, "startedAtMillis must not be negative");
    this.runner = runner;
    this.startedAtMillis = startedAtMillis;
    this.key = startedAtMillis == UNKNOWN_START ? runner : runner + "/" + startedAtMillis;
    this.keyHash = Rendezvous.hash(key);
  }

  /** Returns the incarnation of a runner that does not tell when it started. */
  public static RunnerIncarnation of(String runner) {
    return new RunnerIncarnation(runner, UNKNOWN_START);
  }

  /** Returns the id that the runner answers to. */
  public String runner() {
    return runner;
  }

  /** Returns the time of day of its start (ms since 1970), or {@link #UNKNOWN_START}. */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns a text that names this incarnation and no other. */
  public String key() {
    return key;
  }

  /** Returns the hash of the key, the same on every host. */
  public long keyHash() {
    return keyHash;
  }

  /** Returns whether this is an earlier life than another of the same runner. */
  public boolean isBefore(RunnerIncarnation other) {
    return startedAtMillis < other.startedAtMillis;
  }

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof RunnerIncarnation that
        && startedAtMillis == that.startedAtMillis
        && runner.equals(that.runner);
  }

  @Override
  public int hashCode() {
    return key.hashCode();
  }

  @Override
  public String toString() {
    return key;
  }
}
