package org.sequoiahub.core.runner;

import java.util.HashMap;
import java.util.Map;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * Requests per adapter version, decayed with a half-life, so that yesterday's hot adapter does not
 * outweigh today's. Entries that have decayed to nothing are dropped: memory follows the active
 * adapters, not all that exist.
 */
final class Popularity {

  private static final double HALF_LIFE_MILLIS = 60_000;
  private static final double FORGOTTEN = 0.01;
  private static final int SWEEP_ABOVE = 256;

  private final Map<AdapterVersion, Count> counts = new HashMap<>();
  private int sweepAt = SWEEP_ABOVE;

  void requested(AdapterVersion adapter, long nowMillis) {
    counts.put(adapter, new Count(value(adapter, nowMillis) + 1, nowMillis));
    if (counts.size() > sweepAt) {
      counts.values().removeIf(count -> count.at(nowMillis) < FORGOTTEN);
      sweepAt = Math.max(SWEEP_ABOVE, 2 * counts.size());
    }
  }

  double value(AdapterVersion adapter, long nowMillis) {
    Count count = counts.get(adapter);
    return count == null ? 0 : count.at(nowMillis);
  }

  private record Count(double value, long atMillis) {
    double at(long nowMillis) {
      return value * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
    }
  }
}
