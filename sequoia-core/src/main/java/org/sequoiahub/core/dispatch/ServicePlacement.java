package org.sequoiahub.core.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Optional;

/** Chooses the runner of a plain service with the least expected wait. */
public final class ServicePlacement {

  /** Work time of a request before any was measured (ms); the users' sheets say 21 to 86. */
  private static final double UNKNOWN_LATENCY_MILLIS = 40;

  private final PlacementSettings settings;

  /** Creates a policy. */
  public ServicePlacement(PlacementSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * Returns the best of the candidates.
   *
   * @param draw a number drawn evenly from 0 to 1, which decides between equals
   */
  public Optional<Candidate> choose(Collection<Candidate> candidates, double draw) {
    Candidate best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    int index = (int) (draw * candidates.size());
    int position = 0;
    for (Candidate candidate : candidates) {
      // Rotated so that equals are taken in turn.
      int turn = Math.floorMod(position++ - index, candidates.size());
      double score = expectedMillis(candidate) + turn * 0.001;
      if (score < bestScore) {
        bestScore = score;
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the expected time to the answer at one runner, with what its failures cost (ms). */
  public double expectedMillis(Candidate candidate) {
    double work =
        candidate.latencyMillis() > 0 ? candidate.latencyMillis() : UNKNOWN_LATENCY_MILLIS;
    int slots = Math.max(1, candidate.runner().slots());
    double waiting = Math.max(0, candidate.inFlight() + 1 - slots) * work / slots;
    // A runner that is nearly full works slower.
    double crowding = work * 0.3 * Math.min(1.0, (double) candidate.inFlight() / slots);
    return work
        + waiting
        + crowding
        + candidate.failureRate() * settings.failurePenaltyMillis()
        + (candidate.vanished() ? settings.vanishedPenaltyMillis() : 0)
        + (candidate.sameFailureDomain() ? 0 : settings.otherDomainPenaltyMillis());
  }
}
