package org.sequoiahub.core.scheduling;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * How much of its fair share each workspace uses while capacity is short.
 *
 * <p>What the fleet serves is taken as its capacity, and divided by what the workspaces ask for.
 * This host sees only its own part of the demand; what other hosts rejected is assumed to be in the
 * same proportion to what they served.
 */
public final class WorkspaceUse {

  /** Time constant of the rates (ms); as long as the window of the fleet's rates. */
  static final double WINDOW_MILLIS = 2_000;

  /** Ratio of demand to use above which capacity is short; below it, the rates vary by chance. */
  static final double SHORTAGE_RATIO = 1.1;

  /** Interval at which the shares are computed (ms); hosts exchange their use no more often. */
  static final long UPDATE_INTERVAL_MILLIS = 100;

  /** Below this rate (tokens per second), a workspace is forgotten. */
  private static final double MIN_PER_SECOND = 0.01;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final FleetRates fleetRates;
  private final Map<String, Rates> rates = new HashMap<>();
  private Map<String, Double> relativeUse = Map.of();
  private long updatedMillis = Long.MIN_VALUE / 2;

  /** What the whole fleet serves. */
  @FunctionalInterface
  public interface FleetRates {
    /** Returns the tokens per second that a workspace uses on all hosts; 0 if that is unknown. */
    double tokensPerSecond(String workspace, long nowMillis);
  }

  /** Rates at this host, which decay exponentially (tokens per second). */
  private static final class Rates {
    double offered;
    double served;
    double weight = 1;
    long atMillis;

    void decay(long nowMillis) {
      double factor = Math.exp(-Math.max(0, nowMillis - atMillis) / WINDOW_MILLIS);
      offered *= factor;
      served *= factor;
      atMillis = Math.max(atMillis, nowMillis);
    }
  }

  /** Creates an account without use. */
  public WorkspaceUse(FleetRates fleetRates) {
    this.fleetRates = requireNonNull(fleetRates, "fleetRates must not be null");
  }

  /** Records that a request arrived. */
  public void recordOffered(String workspace, double weight, long tokens, long nowMillis) {
    checkArgument(weight > 0, "weight must be above 0, was %s", weight);
    Rates there = rates(workspace, nowMillis);
    there.weight = weight;
    there.offered += perSecond(tokens);
  }

  /** Records that a request was sent to a runner. */
  public void recordServed(String workspace, long tokens, long nowMillis) {
    rates(workspace, nowMillis).served += perSecond(tokens);
  }

  /**
   * Returns the use of a workspace divided by its fair share; 0 while capacity is not short or
   * there is only one workspace.
   */
  public double relativeUse(String workspace, long nowMillis) {
    if (nowMillis - updatedMillis >= UPDATE_INTERVAL_MILLIS) {
      updatedMillis = nowMillis;
      update(nowMillis);
    }
    return relativeUse.getOrDefault(workspace, 0.0);
  }

  private Rates rates(String workspace, long nowMillis) {
    Rates there = rates.computeIfAbsent(workspace, name -> new Rates());
    there.decay(nowMillis);
    return there;
  }

  private static double perSecond(long tokens) {
    return tokens * MILLIS_PER_SECOND / WINDOW_MILLIS;
  }

  private void update(long nowMillis) {
    Map<String, Double> uses = new HashMap<>();
    Map<String, Double> demands = new HashMap<>();
    Map<String, Double> weights = new HashMap<>();
    rates.values().forEach(there -> there.decay(nowMillis));
    rates.values().removeIf(there -> there.offered + there.served < MIN_PER_SECOND);
    rates.forEach(
        (workspace, there) -> {
          double use = Math.max(there.served, fleetRates.tokensPerSecond(workspace, nowMillis));
          double unserved = there.served > 0 ? Math.max(1, there.offered / there.served) : 1;
          uses.put(workspace, use);
          demands.put(workspace, there.served > 0 ? use * unserved : use + there.offered);
          weights.put(workspace, there.weight);
        });
    double capacity = sum(uses);
    if (uses.size() < 2 || sum(demands) < capacity * SHORTAGE_RATIO) {
      relativeUse = Map.of();
      return;
    }
    Map<String, Double> relative = new HashMap<>();
    FairShares.shares(capacity, demands, weights)
        .forEach(
            (workspace, share) ->
                relative.put(workspace, share > 0 ? uses.getOrDefault(workspace, 0.0) / share : 0));
    relativeUse = relative;
  }

  private static double sum(Map<String, Double> values) {
    return values.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
