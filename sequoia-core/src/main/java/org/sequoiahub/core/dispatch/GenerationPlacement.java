package org.sequoiahub.core.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.placement.Rendezvous;

/**
 * Chooses the runner at which a model request gets its first token soonest.
 *
 * <p>Prompt parts are reused only where the same adapter read them before, so the expected time
 * draws an adapter's requests together by itself, until their queue costs more than a load and a
 * cold prompt elsewhere.
 */
public final class GenerationPlacement {

  /** Runners beyond this rank for an adapter are alike. */
  private static final int MAX_RANK = 4;

  /** A first event that is expected within this part of the time left is in time. */
  private static final double SAFE_FRACTION = 0.6;

  /** One that is expected after this part of it is late. */
  private static final double LATE_FRACTION = 1.1;

  private final PlacementSettings settings;

  /** Creates a policy. */
  public GenerationPlacement(PlacementSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * A choice.
   *
   * @param candidate the runner
   * @param firstTokenMillis expected time to the first token
   */
  public record Choice(Candidate candidate, double firstTokenMillis) {}

  /**
   * Returns the best of the candidates.
   *
   * <p>A request that waits for an adapter stays where it waits unless another runner gains it more
   * than {@link PlacementSettings#moveThresholdMillis}: each move begins another wait at its end.
   * Moved for any gain, two hundred requests of a day went to and fro for seconds, and their
   * adapters were brought to both runners.
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
    Choice best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (int rank = 0; rank < ranked.size(); rank++) {
      Candidate candidate = ranked.get(rank);
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
   * Returns the expected time to the first token at one runner (ms).
   *
   * <p>While an adapter is on its way the prompts ahead are read and slots become free.
   */
  public double expectedMillis(Candidate candidate) {
    long ahead = candidate.unreadAheadTokens() + candidate.queuedAheadTokens();
    long overSlots = Math.max(0, candidate.inFlight() + 1 - candidate.runner().slots());
    double queue = ahead / settings.readTokensPerMilli() + overSlots * settings.slotWaitMillis();
    double expected =
        Math.max(queue, (double) candidate.adapterWaitMillis())
            + candidate.unreadTokens() / settings.readTokensPerMilli()
            + candidate.inFlight() * settings.perRequestMillis();
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
   * <p>A runner reads prompts in pieces between the steps in which its streams grow, and a step
   * with a piece takes twenty times as long. While several long prompts are read one after the
   * other, every stream there pauses for as many such steps as one event takes tokens; callers that
   * accept a shorter pause get their whole stream too late. So no more is sent than the streams can
   * bear, and the next prompt waits here until the ones ahead are read.
   */
  public boolean mayStartReading(Candidate candidate, StreamLimits limits) {
    return candidate.unreadAheadTokens() == 0
        || !pausesStreams(limits, candidate.unreadAheadTokens() + candidate.unreadTokens());
  }

  /** Returns whether reading so many tokens at a stretch pauses a runner's streams for too long. */
  private boolean pausesStreams(StreamLimits limits, long tokens) {
    double pieceMillis = settings.chunkTokens() / settings.chunkTokensPerMilli();
    if (limits.maxPauseMillis() <= 0
        || limits.tokensPerEvent() * pieceMillis < limits.maxPauseMillis()) {
      return false;
    }
    long bearableMillis = limits.maxPauseMillis() - settings.pauseMarginMillis();
    return tokens > bearableMillis * settings.chunkTokensPerMilli();
  }

  /**
   * What a prompt that is too long for the streams of a runner costs the callers of these. Sent to
   * the runner with the fewest streams, such prompts come together on a few runners, and the short
   * answers on the others.
   */
  private double pausePenalty(Candidate candidate, StreamLimits limits) {
    return pausesStreams(limits, candidate.unreadTokens())
        ? candidate.inFlight() * settings.pausePenaltyMillis()
        : 0;
  }

  private double riskPenalty(Candidate candidate) {
    return candidate.failureRate() * settings.failurePenaltyMillis()
        + (candidate.vanished() ? settings.vanishedPenaltyMillis() : 0)
        + (candidate.sameFailureDomain() ? 0 : settings.otherDomainPenaltyMillis());
  }

  /**
   * What it costs the caller to get the first event after its target latency: the answer is worth
   * less than a third then. The expected time is not exact, so the cost begins before the target.
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
   * What it costs to bring an adapter to a runner that does not hold it.
   *
   * <p>A runner brings back quickly and without the weight store what it dropped not long ago. So
   * an adapter has a first runner, and others only in their order: what a runner dropped then lies
   * where the adapter is asked for again, and hosts that decide at the same moment agree.
   */
  private double loadPenalty(Candidate candidate, int rank) {
    if (candidate.heldOrLoading() || candidate.warm()) {
      return 0;
    }
    double cost =
        settings.loadPenaltyMillis() + Math.min(rank, MAX_RANK) * settings.rankPenaltyMillis();
    // An adapter that many use at once pays for a second runner soon.
    return cost / (1 + candidate.adapterUses());
  }
}
