package org.sequoiahub.core.scheduling;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides capacity between workspaces: max-min fair by weight, and work-conserving, as what one
 * workspace does not need is divided among the others.
 */
public final class FairShares {

  /** Weight of a workspace for which none is specified. */
  private static final double DEFAULT_WEIGHT = 1;

  private FairShares() {}

  /**
   * Returns the share of each workspace, which is at most its demand. Without shortage, each
   * workspace gets its demand.
   *
   * @param capacity what can be used by all together (tokens per second)
   * @param demands what each would use (tokens per second)
   * @param weights the weights by workspace; 1 where there is none
   */
  public static Map<String, Double> shares(
      double capacity, Map<String, Double> demands, Map<String, Double> weights) {
    checkArgument(capacity >= 0, "capacity must not be negative, was %s", capacity);
    List<Map.Entry<String, Double>> byNeed = new ArrayList<>(demands.entrySet());
    byNeed.sort(
        Comparator.comparingDouble(demand -> demand.getValue() / weight(weights, demand.getKey())));
    double weightLeft =
        byNeed.stream().mapToDouble(demand -> weight(weights, demand.getKey())).sum();
    double left = capacity;
    Map<String, Double> shares = new HashMap<>();
    for (Map.Entry<String, Double> demand : byNeed) {
      double weight = weight(weights, demand.getKey());
      double share = Math.min(demand.getValue(), left * weight / weightLeft);
      shares.put(demand.getKey(), share);
      left = Math.max(0, left - share);
      weightLeft -= weight;
    }
    return shares;
  }

  private static double weight(Map<String, Double> weights, String workspace) {
    double weight = weights.getOrDefault(workspace, DEFAULT_WEIGHT);
    checkArgument(weight > 0, "the weight of %s must be above 0, was %s", workspace, weight);
    return weight;
  }
}
