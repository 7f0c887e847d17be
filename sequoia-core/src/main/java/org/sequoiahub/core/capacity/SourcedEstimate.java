package org.sequoiahub.core.capacity;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One quantity of one runner, from the observations of several hosts.
 *
 * <p>The hosts' values are averaged geometrically, weighted by age. A median of the service takes
 * part with a small weight, so that an estimate without recent observations approaches it.
 */
final class SourcedEstimate {

  /**
   * The weight of this host's observations relative to those of one other host. The influence of a
   * host that reports false values is bounded thereby, even if only it and this host observe.
   */
  private static final double OWN_WEIGHT = 3;

  /** The weight of the median: an eighth of that of a new report. */
  private static final double MEDIAN_WEIGHT = 0.125;

  /** The weight below which all observations together are not counted as known. */
  private static final double MIN_WEIGHT = 0.05;

  /** The number of hosts whose reports are kept; the oldest report is replaced. */
  private static final int MAX_SOURCES = 8;

  private final CapacityQuantity quantity;
  private final Map<String, Observation> others = new HashMap<>();
  private @Nullable Observation own;

  private record Observation(double value, long atMillis) {}

  SourcedEstimate(CapacityQuantity quantity) {
    this.quantity = quantity;
  }

  /** Records an observation of this host. */
  void record(double value, long nowMillis) {
    Observation before = own;
    if (before == null) {
      own = new Observation(value, nowMillis);
      return;
    }
    // An old average counts less against a new observation.
    double newest = 1 - (1 - quantity.newestWeight()) * decay(nowMillis - before.atMillis);
    own =
        new Observation(
            Math.exp(Math.log(before.value) * (1 - newest) + Math.log(value) * newest), nowMillis);
  }

  /** Records what another host observed. */
  void merge(String source, double value, long observedMillis) {
    Observation known = others.get(source);
    if (known != null && known.atMillis >= observedMillis) {
      return;
    }
    others.put(source, new Observation(value, observedMillis));
    if (others.size() > MAX_SOURCES) {
      others.entrySet().stream()
          .min(Map.Entry.comparingByValue((a, b) -> Long.compare(a.atMillis, b.atMillis)))
          .map(Map.Entry::getKey)
          .ifPresent(others::remove);
    }
  }

  /** Returns the value that this host observed; null if it observed none that still counts. */
  @Nullable Double ownValue(long nowMillis) {
    Observation latest = own;
    return latest == null || decay(nowMillis - latest.atMillis) < MIN_WEIGHT ? null : latest.value;
  }

  /** Returns when this host made its latest observation (ms); 0 if it made none. */
  long ownMillis() {
    return own == null ? 0 : own.atMillis;
  }

  /** Returns whether there is a recent observation. */
  boolean isKnown(long nowMillis) {
    return weight(nowMillis) >= MIN_WEIGHT;
  }

  private double weight(long nowMillis) {
    double weight = own == null ? 0 : OWN_WEIGHT * decay(nowMillis - own.atMillis);
    for (Observation other : others.values()) {
      weight += decay(nowMillis - other.atMillis);
    }
    return weight;
  }

  /**
   * Returns the estimate.
   *
   * @param median the median of the service, which all values are clamped around
   * @param clampFactor the factor by which a value may differ from the median
   */
  double value(double median, double clampFactor, long nowMillis) {
    return average(median, MEDIAN_WEIGHT, clampFactor, nowMillis);
  }

  /**
   * Returns the average of the observations alone; there must be a recent one.
   *
   * @param center the value that all values are clamped around
   * @param clampFactor the factor by which a value may differ from the center
   */
  double observed(double center, double clampFactor, long nowMillis) {
    return average(center, 0, clampFactor, nowMillis);
  }

  private double average(double median, double medianWeight, double clampFactor, long nowMillis) {
    double limit = Math.log(clampFactor);
    double center = Math.log(median);
    double sum = 0;
    double weight = medianWeight;
    Observation latest = own;
    if (latest != null) {
      double w = OWN_WEIGHT * decay(nowMillis - latest.atMillis);
      sum += w * clamp(Math.log(latest.value) - center, limit);
      weight += w;
    }
    for (Observation other : others.values()) {
      double w = decay(nowMillis - other.atMillis);
      sum += w * clamp(Math.log(other.value) - center, limit);
      weight += w;
    }
    return Math.exp(center + sum / weight);
  }

  private double decay(long ageMillis) {
    return Math.pow(0.5, (double) Math.max(0, ageMillis) / quantity.halfLifeMillis());
  }

  private static double clamp(double value, double limit) {
    return Math.max(-limit, Math.min(limit, value));
  }
}
