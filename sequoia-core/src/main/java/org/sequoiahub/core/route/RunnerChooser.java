package org.sequoiahub.core.route;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * Chooses the candidate runner that is expected to start a request soonest.
 *
 * <p>If no candidate is known to hold the adapter, the first one is not charged the cost of the
 * load, because some runner has to load it first. Otherwise, each candidate without the adapter is
 * charged, so a hot adapter gains a replica only when the wait at the runners that hold it exceeds
 * the cost of a load.
 */
public final class RunnerChooser {

  private static final double FULL_BATCH_MILLIS = 400;

  private final RouteSettings settings;

  /** Creates a chooser with the settings of the deployment. */
  public RunnerChooser(RouteSettings settings) {
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * Chooses a runner.
   *
   * @param adapter the exact adapter version
   * @param candidates its candidate runners, in order of preference
   * @param excluded ids of the runners that have already refused this request
   * @param hints the state that was last observed of the runners
   * @return the runner to send the request to; empty if all candidates are excluded
   */
  public Optional<Runner> choose(
      AdapterVersion adapter,
      List<Runner> candidates,
      Set<String> excluded,
      RunnerHints hints,
      long nowMillis) {
    List<Runner> remaining = candidates.stream().filter(r -> !excluded.contains(r.id())).toList();
    boolean anyResident =
        remaining.stream().anyMatch(r -> hints.isResident(r.id(), adapter, nowMillis));
    Runner best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < remaining.size(); i++) {
      Runner runner = remaining.get(i);
      boolean noLoadCost =
          hints.isResident(runner.id(), adapter, nowMillis) || (!anyResident && i == 0);
      double cost =
          startCostMillis(runner, hints, nowMillis) + (noLoadCost ? 0 : settings.loadCostMillis());
      if (cost < bestCost) {
        best = runner;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double startCostMillis(Runner runner, RunnerHints hints, long nowMillis) {
    double fill = (double) hints.inFlight(runner.id()) / runner.batch();
    double queueing = fill > 1 ? (fill - 1) * FULL_BATCH_MILLIS * 2 : 0;
    double preference = settings.batchFillWeight() > 0 ? 1 - Math.min(1, fill) : fill;
    return hints.expectedWaitMillis(runner.id(), nowMillis) + queueing + preference;
  }
}
