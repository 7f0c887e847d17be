package org.sequoiahub.core.route;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * Chooses the candidate runner where a request is expected to start soonest.
 *
 * <p>The first candidate that is not known to hold the adapter is charged nothing for the load:
 * some runner has to load it first. Every further one is, so replicas of a hot adapter grow only
 * once the wait at those that have it exceeds the cost of a load.
 */
public final class RunnerChooser {

  private static final double FULL_BATCH_MILLIS = 400;

  private final RouteSettings settings;

  /** Creates a chooser with the deployment's weights. */
  public RunnerChooser(RouteSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * Chooses a runner.
   *
   * @param adapter the exact adapter version
   * @param candidates its candidates, the preferred one first
   * @param excluded runners that have refused this request already
   * @param hints what is remembered of the runners
   * @return the runner to ask; empty if no candidate is left
   */
  public Optional<Runner> choose(
      AdapterVersion adapter,
      List<Runner> candidates,
      Set<String> excluded,
      RunnerHints hints,
      long nowMillis) {
    List<Runner> left = candidates.stream().filter(r -> !excluded.contains(r.id())).toList();
    boolean anyResident = left.stream().anyMatch(r -> hints.isResident(r.id(), adapter, nowMillis));
    Runner best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < left.size(); i++) {
      Runner runner = left.get(i);
      boolean free = hints.isResident(runner.id(), adapter, nowMillis) || (!anyResident && i == 0);
      double cost =
          startCostMillis(runner, hints, nowMillis) + (free ? 0 : settings.loadCostMillis());
      if (cost < bestCost) {
        best = runner;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double startCostMillis(Runner runner, RunnerHints hints, long nowMillis) {
    double fill = (double) hints.inFlight(runner.id()) / runner.batch();
    double crowding = fill > 1 ? (fill - 1) * FULL_BATCH_MILLIS * 2 : 0;
    double preference = settings.batchFillWeight() > 0 ? 1 - Math.min(1, fill) : fill;
    return hints.expectedWaitMillis(runner.id(), nowMillis) + crowding + preference;
  }
}
