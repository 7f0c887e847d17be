package org.sequoiahub.core.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.capacity.RunnerSpeed;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * Chooses the runner at which a generation request gets its first token soonest.
 *
 * <p>A runner reuses prompt parts only if the same adapter read them there before. The expected
 * time therefore groups an adapter's requests at one runner until queueing there costs more than a
 * load and an uncached prompt elsewhere.
 */
public final class GenerationPlacement {

  /** Rank in an adapter's ranking from which on all runners have the same penalty. */
  private static final int MAX_RANK = 4;

  /** A first event expected within this fraction of the time left is certainly on time. */
  private static final double SAFE_FRACTION = 0.6;

  /** A first event expected after this fraction of the time left is certainly late. */
  private static final double LATE_FRACTION = 1.1;

  private final PlacementSettings settings;

  /** Creates a placement with the given weights. */
  public GenerationPlacement(PlacementSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * The chosen runner.
   *
   * @param candidate the runner
   * @param firstTokenMillis the expected time to the first token (ms)
   */
  public record Choice(Candidate candidate, double firstTokenMillis) {}

  /**
   * Returns the best of the candidates; empty if there are none.
   *
   * <p>A runner whose rate limit or backoff may make the request late is chosen only if there is no
   * other.
   *
   * <p>A request that waits for an adapter stays at its runner unless another one is faster by more
   * than {@link PlacementSettings#moveThresholdMillis}, because it has to wait anew after each
   * move. If requests moved for any gain, they would alternate between two runners for seconds, and
   * their adapters would be loaded at both.
   *
   * @param waitingAt the runner where the request waits; empty if it waits nowhere
   */
  public Optional<Choice> choose(
      Generation generation,
      StreamLimits limits,
      Collection<Candidate> candidates,
      String waitingAt) {
    List<Candidate> ranked =
        Rendezvous.rankingByHash(
            generation.target(), candidates, candidate -> candidate.runner().idHash());
    boolean anyInTime = candidates.stream().anyMatch(c -> maySendInTime(c, limits));
    Choice best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (int rank = 0; rank < ranked.size(); rank++) {
      Candidate candidate = ranked.get(rank);
      if (anyInTime && !maySendInTime(candidate, limits)) {
        continue;
      }
      double expected = expectedMillis(candidate);
      double score = expected + riskPenalty(candidate) + loadPenalty(candidate, rank);
      score += pausePenalty(candidate, limits) + latePenalty(expected, limits);
      score -= candidate.runner().id().equals(waitingAt) ? settings.moveThresholdMillis() : 0;
      if (score < bestScore) {
        bestScore = score;
        best = new Choice(candidate, expected);
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns whether a request may surely be sent to a runner in time. The wait for a permit counts
   * twice, as it may go to a more urgent request first; the end of a backoff is certain.
   */
  private static boolean maySendInTime(Candidate candidate, StreamLimits limits) {
    long wait = candidate.sendWaitMillis();
    long timeToTarget = Math.max(0, limits.timeToTargetMillis());
    return candidate.sendDecision().waitsForPermit()
        ? wait <= timeToTarget / 2
        : wait <= timeToTarget;
  }

  /**
   * Returns the expected time to the first token at one runner (ms).
   *
   * <p>While an adapter is in transit, the prompts ahead are read and slots become free.
   */
  public double expectedMillis(Candidate candidate) {
    long ahead = candidate.unreadAheadTokens() + candidate.queuedAheadTokens();
    long overSlots = Math.max(0, candidate.inFlight() + 1 - candidate.runner().slots());
    RunnerSpeed speed = candidate.speed();
    double tokensPerMilli = speed.currentTokensPerMilli();
    double queue = ahead / tokensPerMilli + overSlots * settings.slotWaitMillis() * speed.pace();
    double expected =
        Math.max(
                queue, (double) Math.max(candidate.adapterWaitMillis(), candidate.sendWaitMillis()))
            + candidate.unreadTokens() / tokensPerMilli
            + candidate.inFlight() * settings.perRequestMillis() * speed.pace();
    if (candidate.heldOrLoading()) {
      return expected;
    }
    expected += candidate.hasRoom() ? 0 : settings.noRoomMillis();
    expected += candidate.hasHolder() ? 0 : settings.noHolderMillis();
    return expected;
  }

  /**
   * Returns whether a runner may start reading a request's prompt now.
   *
   * <p>A runner reads prompts in chunks between the steps in which its streams grow, and a step
   * with a chunk takes twenty times as long. While several long prompts are read in succession,
   * every stream of the runner pauses for as many such steps as one event has tokens, and the
   * stream is too late for callers that accept only a shorter pause. Therefore no more is sent than
   * the streams tolerate, and the next prompt waits at this host until the ones ahead are read.
   */
  public boolean mayStartReading(Candidate candidate, StreamLimits limits) {
    return candidate.unreadAheadTokens() == 0
        || !pausesStreams(
            limits, candidate.unreadAheadTokens() + candidate.unreadTokens(), candidate.speed());
  }

  /** Returns whether reading this many tokens in succession pauses streams for too long. */
  private boolean pausesStreams(StreamLimits limits, long tokens, RunnerSpeed speed) {
    double relativeSpeed =
        speed.currentTokensPerMilli() / RunnerSpeed.DEFAULT.currentTokensPerMilli();
    double chunkTokensPerMilli = settings.chunkTokensPerMilli() * relativeSpeed;
    double chunkMillis = settings.chunkTokens() / chunkTokensPerMilli;
    if (limits.maxPauseMillis() <= 0
        || limits.tokensPerEvent() * chunkMillis < limits.maxPauseMillis()) {
      return false;
    }
    long acceptedMillis = limits.maxPauseMillis() - settings.pauseMarginMillis();
    return tokens > acceptedMillis * chunkTokensPerMilli;
  }

  /**
   * Returns the cost of a prompt that pauses the streams of a runner for too long. Because of this
   * penalty such prompts go to the runner with the fewest streams, and so gather on a few runners
   * while short responses gather on the others.
   */
  private double pausePenalty(Candidate candidate, StreamLimits limits) {
    return pausesStreams(limits, candidate.unreadTokens(), candidate.speed())
        ? candidate.inFlight() * settings.pausePenaltyMillis()
        : 0;
  }

  private double riskPenalty(Candidate candidate) {
    return candidate.failureRate() * settings.failurePenaltyMillis()
        + (candidate.vanished() ? settings.vanishedPenaltyMillis() : 0)
        + (candidate.sameFailureDomain() ? 0 : settings.otherDomainPenaltyMillis());
  }

  /**
   * Returns the cost of a first event after its target latency, when the response is worth less
   * than a third to its caller. The expected time is not exact, so the cost starts to rise before
   * the target.
   */
  private double latePenalty(double expectedMillis, StreamLimits limits) {
    if (limits.timeToTargetMillis() <= 0) {
      return 0;
    }
    double used = expectedMillis / limits.timeToTargetMillis();
    double risk = (used - SAFE_FRACTION) / (LATE_FRACTION - SAFE_FRACTION);
    return settings.latePenaltyMillis() * Math.max(0, Math.min(1, risk));
  }

  /**
   * Returns the cost of loading an adapter at a runner that does not hold it.
   *
   * <p>A runner reloads quickly and without the weight store what it unloaded recently. Each
   * adapter therefore has a fixed ranking of runners: an unloaded adapter is then still in the
   * memory of the runner at which it is requested again, and hosts that decide at the same moment
   * choose the same runner.
   */
  private double loadPenalty(Candidate candidate, int rank) {
    if (candidate.heldOrLoading() || candidate.warm()) {
      return 0;
    }
    double cost =
        settings.loadPenaltyMillis() + Math.min(rank, MAX_RANK) * settings.rankPenaltyMillis();
    // A second runner soon pays off for an adapter that many requests use at once.
    return cost / (1 + candidate.adapterUses());
  }
}
