package org.sequoiahub.core.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Optional;
import org.sequoiahub.core.call.Generation;

/**
 * Chooses the runner at which a model request gets its first token soonest.
 *
 * <p>Prompt parts are reused only where the same adapter read them before, so the expected time
 * draws an adapter's requests together by itself, until their queue costs more than a load and a
 * cold prompt elsewhere.
 */
public final class GenerationPlacement {

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

  /** Returns the best of the candidates. */
  public Optional<Choice> choose(Generation generation, Collection<Candidate> candidates) {
    Choice best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double expected = expectedMillis(candidate);
      double score = expected + penalty(candidate) + spread(generation, candidate);
      if (score < bestScore) {
        bestScore = score;
        best = new Choice(candidate, expected);
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the expected time to the first token at one runner (ms). */
  public double expectedMillis(Candidate candidate) {
    double reading =
        (candidate.unreadAheadTokens() + candidate.unreadTokens()) / settings.readTokensPerMilli();
    long overSlots = Math.max(0, candidate.inFlight() + 1 - candidate.runner().slots());
    double expected =
        reading
            + overSlots * settings.slotWaitMillis()
            + candidate.inFlight() * settings.perRequestMillis();
    if (candidate.present()) {
      return expected + candidate.adapterWaitMillis();
    }
    expected += candidate.adapterWaitMillis();
    expected += candidate.roomForAdapter() ? 0 : settings.noRoomMillis();
    expected += candidate.ordered() ? 0 : settings.unorderedMillis();
    return expected;
  }

  private double penalty(Candidate candidate) {
    return candidate.failureRate() * settings.failureMillis()
        + (candidate.vanished() ? settings.vanishedMillis() : 0)
        + (candidate.near() ? 0 : settings.farMillis());
  }

  /**
   * Hosts that decide about the same absent adapter at the same moment would each have it loaded
   * somewhere else; a small preference that all of them compute alike makes them agree.
   */
  private double spread(Generation generation, Candidate candidate) {
    if (candidate.present()) {
      return 0;
    }
    int hash = (generation.target() + "@" + candidate.runner().id()).hashCode() * 0x9E3779B9;
    return (hash >>> 16) / 65_536.0 * settings.spreadMillis();
  }
}
