package org.sequoiahub.core.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Optional;
import org.sequoiahub.core.capacity.RunnerSpeed;

/** Chooses the runner of a plain service with the shortest expected time to the response. */
public final class ServicePlacement {

  /** How much faster another runner must be for a waiting request to move there (ms). */
  private static final double MIN_GAIN_MILLIS = 20;

  private final PlacementSettings settings;

  /** Creates a placement with the given weights. */
  public ServicePlacement(PlacementSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * Returns the best of the candidates; empty if there are none.
   *
   * <p>A request that waits for a permit of a runner stays there while no other one is clearly
   * faster: it would otherwise leave among equals just when it gets the permit.
   *
   * @param waitingAt the id of the runner where the request waits; empty if it waits nowhere
   * @param draw a uniformly distributed random number from 0 to 1 that decides between equal ones
   */
  public Optional<Candidate> choose(
      Collection<Candidate> candidates, String waitingAt, double draw) {
    Candidate best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    int index = (int) (draw * candidates.size());
    int position = 0;
    for (Candidate candidate : candidates) {
      // Rotates the order so that equal candidates are chosen evenly.
      int rotated = Math.floorMod(position++ - index, candidates.size());
      double score = expectedMillis(candidate) + rotated * 0.001;
      score -= candidate.runner().id().equals(waitingAt) ? MIN_GAIN_MILLIS : 0;
      if (score < bestScore) {
        bestScore = score;
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the expected time to the response at one runner, including its penalties (ms). */
  public double expectedMillis(Candidate candidate) {
    RunnerSpeed speed = candidate.speed();
    // Without an estimate the latency that this host observed is the best known one.
    double work =
        speed.isEstimated() || candidate.latencyMillis() <= 0
            ? speed.currentServiceMillis()
            : candidate.latencyMillis();
    int slots = Math.max(1, candidate.runner().slots());
    double waiting = Math.max(0, candidate.inFlight() + 1 - slots) * work / slots;
    // A runner works slower the more of its slots are in use.
    double crowding =
        work * speed.fullnessSlowdown() * Math.min(1.0, (double) candidate.inFlight() / slots);
    return work
        + Math.max(waiting, (double) candidate.sendWaitMillis())
        + crowding
        + candidate.failureRate() * settings.failurePenaltyMillis()
        + (candidate.vanished() ? settings.vanishedPenaltyMillis() : 0)
        + (candidate.sameFailureDomain() ? 0 : settings.otherDomainPenaltyMillis());
  }
}
