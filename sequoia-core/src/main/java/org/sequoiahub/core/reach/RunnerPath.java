package org.sequoiahub.core.reach;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.sequoiahub.core.upstream.RunnerEntry;

/**
 * Decides whether this host has lost its network path to all runners, or whether single runners
 * have failed.
 *
 * <p>A failed connect, or a request without any response for {@link #SILENCE_MILLIS}, only raises a
 * suspicion. A round of connects to runners of different services and failure domains then decides:
 * the path is lost if all of them fail, and a runner has failed if any succeeds. A connect is used
 * because a runner that is busy or silent still accepts it. While the path is lost, rounds
 * continue, and it is restored after {@link #ROUNDS_TO_RESTORE} rounds in a row in which any
 * connect succeeds, so that an unstable path does not change the decision back and forth.
 *
 * <p>Not thread-safe. All times are of the same monotonic clock, in milliseconds.
 */
public final class RunnerPath {

  /** Time without a response to any pending request that raises a suspicion (ms). */
  public static final long SILENCE_MILLIS = 400;

  /** Minimum interval between the starts of two rounds (ms). */
  public static final long ROUND_INTERVAL_MILLIS = 300;

  /**
   * Minimum interval between two rounds that are due to silence alone (ms): a long prompt causes
   * silence as well.
   */
  public static final long SILENCE_ROUND_INTERVAL_MILLIS = 1_000;

  /** Number of connects in a round, if there are as many runners. */
  public static final int PROBES_PER_ROUND = 3;

  /** Number of successful rounds in a row after which a lost path is restored. */
  public static final int ROUNDS_TO_RESTORE = 3;

  /**
   * Time after which a round without all results is abandoned (ms), as after a suspension of the
   * process.
   */
  private static final long ROUND_TIMEOUT_MILLIS = 2_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** What a round has decided. */
  public enum Verdict {
    /** The round goes on, or another one is needed. */
    UNDECIDED,
    /** The path works: failures since the last round are failures of single runners. */
    WORKS,
    /** The path was lost with this round. */
    LOST,
    /** The path is still lost. */
    STILL_LOST,
    /** The path was restored with this round. */
    RESTORED
  }

  private final Random random;

  /** Ids of the runners to which a connect has failed since the last successful round. */
  private final Set<String> connectFailures = new HashSet<>();

  /** Since when requests are pending without any response; {@link #NEVER} if none is. */
  private long silentSinceMillis = NEVER;

  /** The runner that accepted a probe last; empty if none did. */
  private String lastReached = "";

  private boolean silenceEscalated;
  private boolean lost;
  private long lostSinceMillis;
  private long roundStartedMillis = NEVER;
  private int roundSize;
  private int roundResults;
  private int roundSuccesses;
  private int successfulRounds;

  /** Creates the decision for a host whose path works so far. */
  public RunnerPath(Random random) {
    this.random = requireNonNull(random, "random must not be null");
  }

  /** Records that a request was sent to a runner. */
  public void recordSent(long nowMillis) {
    if (silentSinceMillis == NEVER) {
      silentSinceMillis = nowMillis;
    }
  }

  /** Records that a response, or a part of one, arrived from any runner. */
  public void recordResponse() {
    silentSinceMillis = NEVER;
  }

  /** Records that a connect to a runner was refused or timed out. */
  public void recordConnectFailure(String runner) {
    connectFailures.add(runner);
  }

  /** Returns whether the path is lost. */
  public boolean isLost() {
    return lost;
  }

  /** Returns since when the path has been lost; only while {@link #isLost}. */
  public long lostSinceMillis() {
    checkState(lost, "the path is not lost");
    return lostSinceMillis;
  }

  /**
   * Starts a round if one is due.
   *
   * @param runners returns the runners that are registered and do not leave; only called if a round
   *     is due, as there may be thousands
   * @return the runners to connect to, whose results are to be passed to {@link #recordProbe};
   *     empty if no round is due
   */
  public List<RunnerEntry> startRoundIfDue(
      Supplier<? extends Collection<RunnerEntry>> runners, long nowMillis) {
    boolean inProgress =
        roundResults < roundSize && nowMillis - roundStartedMillis < ROUND_TIMEOUT_MILLIS;
    long sinceRound = nowMillis - roundStartedMillis;
    boolean full = lost || silenceEscalated || !connectFailures.isEmpty();
    boolean silent = silentSinceMillis != NEVER && nowMillis - silentSinceMillis >= SILENCE_MILLIS;
    boolean due =
        full
            ? sinceRound >= ROUND_INTERVAL_MILLIS
            : silent && sinceRound >= SILENCE_ROUND_INTERVAL_MILLIS;
    if (!due || inProgress) {
      return List.of();
    }
    List<RunnerEntry> targets = selectTargets(runners.get(), full ? PROBES_PER_ROUND : 1);
    roundStartedMillis = nowMillis;
    roundSize = targets.size();
    roundResults = 0;
    roundSuccesses = 0;
    return targets;
  }

  /** Records the result of a connect of the current round. */
  public Verdict recordProbe(String runner, boolean connected, long nowMillis) {
    if (roundResults >= roundSize) {
      return Verdict.UNDECIDED;
    }
    roundResults++;
    if (connected) {
      roundSuccesses++;
      lastReached = runner;
    }
    return roundResults < roundSize ? Verdict.UNDECIDED : endRound(nowMillis);
  }

  private Verdict endRound(long nowMillis) {
    if (lost) {
      successfulRounds = roundSuccesses > 0 ? successfulRounds + 1 : 0;
      if (successfulRounds < ROUNDS_TO_RESTORE) {
        return Verdict.STILL_LOST;
      }
      lost = false;
      clearSuspicion();
      return Verdict.RESTORED;
    }
    if (roundSuccesses > 0) {
      clearSuspicion();
      return Verdict.WORKS;
    }
    boolean silenceOnly = connectFailures.isEmpty() && !silenceEscalated;
    if (silenceOnly) {
      silenceEscalated = true;
      return Verdict.UNDECIDED;
    }
    lost = true;
    lostSinceMillis = nowMillis;
    successfulRounds = 0;
    return Verdict.LOST;
  }

  private void clearSuspicion() {
    connectFailures.clear();
    silenceEscalated = false;
    silentSinceMillis = NEVER;
  }

  /**
   * Selects the runner that was reached last, and runners of as many services and failure domains
   * as possible, at first those to which no connect has failed: if only a service or a domain has
   * failed, another one shows it.
   */
  private List<RunnerEntry> selectTargets(Collection<RunnerEntry> runners, int count) {
    List<RunnerEntry> left = new ArrayList<>(runners);
    Collections.shuffle(left, random);
    List<RunnerEntry> selected = new ArrayList<>();
    Set<String> services = new HashSet<>();
    Set<String> domains = new HashSet<>();
    while (selected.size() < count && !left.isEmpty()) {
      RunnerEntry next =
          Collections.min(
              left,
              Comparator.<RunnerEntry, Boolean>comparing(r -> !r.id().equals(lastReached))
                  .thenComparing(r -> services.contains(r.service()))
                  .thenComparing(r -> !lost && connectFailures.contains(r.id()))
                  .thenComparing(r -> domains.contains(r.failureDomain())));
      left.remove(next);
      selected.add(next);
      services.add(next.service());
      domains.add(next.failureDomain());
    }
    return selected;
  }
}
