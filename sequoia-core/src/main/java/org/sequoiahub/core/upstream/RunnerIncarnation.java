package org.sequoiahub.core.upstream;

import static com.google.common.base.Preconditions.checkArgument;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * A process of a runner: the runner's id and the start time of the process.
 *
 * <p>A runner may restart under the same id. The new process holds nothing of the previous one and
 * its counters start at zero; whatever is known of the previous process (what it holds, its health,
 * what is in flight there, what it was ordered) is stored under the earlier incarnation and doesn't
 * apply to the new one.
 *
 * <p>This is a class rather than a record because it caches its key and the key's hash: both are
 * needed at each selection of a runner, and computing them each time would take 3% of the work of a
 * host's decision thread.
 */
public final class RunnerIncarnation {

  /** The start time of a runner that doesn't report it; earlier than any other. */
  public static final long UNKNOWN_START = 0;

  private final String runner;
  private final long startedAtMillis;
  private final String key;
  private final long keyHash;

  /**
   * Creates an incarnation.
   *
   * @param runner the id by which the runner identifies itself
   * @param startedAtMillis the time of day of the start (ms since 1970); {@link #UNKNOWN_START} if
   *     the runner doesn't report it
   */
  public RunnerIncarnation(String runner, long startedAtMillis) {
    checkArgument(!runner.isEmpty(), "runner must not be empty");
    checkArgument(startedAtMillis >= 0, "startedAtMillis must not be negative");
    this.runner = runner;
    this.startedAtMillis = startedAtMillis;
    this.key = startedAtMillis == UNKNOWN_START ? runner : runner + "/" + startedAtMillis;
    this.keyHash = Rendezvous.hash(key);
  }

  /** Returns the incarnation of a runner that doesn't report its start time. */
  public static RunnerIncarnation of(String runner) {
    return new RunnerIncarnation(runner, UNKNOWN_START);
  }

  /** Returns the id of the runner to which the key of an incarnation with a start time belongs. */
  static String runnerOf(String key) {
    return key.substring(0, Math.max(0, key.lastIndexOf('/')));
  }

  /** Returns the id by which the runner identifies itself. */
  public String runner() {
    return runner;
  }

  /** Returns the time of day of the start (ms since 1970), or {@link #UNKNOWN_START}. */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns the unique key of this incarnation. */
  public String key() {
    return key;
  }

  /** Returns the hash of the key, the same on every host. */
  public long keyHash() {
    return keyHash;
  }

  /** Returns whether this is an earlier process than another incarnation of the same runner. */
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
