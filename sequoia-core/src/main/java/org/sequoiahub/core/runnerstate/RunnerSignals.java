package org.sequoiahub.core.runnerstate;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.sequoiahub.core.ratelimit.StatedLimit;

/**
 * What the head of a runner's response states about the runner.
 *
 * @param leaving whether the runner leaves the fleet
 * @param backoffMillis how long the runner wants no calls from this host (ms); 0 if it states none
 * @param limit what it states about the rate of requests that the runner takes
 * @param refusals what it states about the refusals per second that the runner withstands without
 *     failing
 * @param load its load; empty if it states none
 * @param unreadable what is wrong with the statements on leaving, backoff and load that cannot be
 *     read, which are ignored; for a human reader
 */
public record RunnerSignals(
    boolean leaving,
    long backoffMillis,
    StatedLimit limit,
    StatedLimit refusals,
    Optional<StatedLoad> load,
    List<String> unreadable) {

  /** The signals of a response that states nothing. */
  public static final RunnerSignals NONE =
      new RunnerSignals(
          false, 0, new StatedLimit.None(), new StatedLimit.None(), Optional.empty(), List.of());

  /** Checks the arguments and copies the list. */
  public RunnerSignals {
    checkArgument(backoffMillis >= 0, "backoffMillis must not be negative, was %s", backoffMillis);
    requireNonNull(limit, "limit must not be null");
    requireNonNull(refusals, "refusals must not be null");
    requireNonNull(load, "load must not be null");
    unreadable = List.copyOf(unreadable);
  }

  /** Creates the signals of a response that states no load. */
  public RunnerSignals(
      boolean leaving,
      long backoffMillis,
      StatedLimit limit,
      StatedLimit refusals,
      List<String> unreadable) {
    this(leaving, backoffMillis, limit, refusals, Optional.empty(), unreadable);
  }

  /** Creates the signals of a response that states nothing about refusals and no load. */
  public RunnerSignals(
      boolean leaving, long backoffMillis, StatedLimit limit, List<String> unreadable) {
    this(leaving, backoffMillis, limit, new StatedLimit.None(), unreadable);
  }

  /** Returns whether the response states nothing. */
  public boolean isEmpty() {
    return load.isEmpty() && !affectsSending();
  }

  /**
   * Returns whether the response states more than a load: what decides whether calls may be sent to
   * the runner, or what cannot be read.
   */
  public boolean affectsSending() {
    return leaving
        || backoffMillis != 0
        || !(limit instanceof StatedLimit.None)
        || !(refusals instanceof StatedLimit.None)
        || !unreadable.isEmpty();
  }
}
