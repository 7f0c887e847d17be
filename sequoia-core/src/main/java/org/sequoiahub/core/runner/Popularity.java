package org.sequoiahub.core.runner;

import java.util.HashMap;
import java.util.Map;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * Requests per adapter version, decayed with a half-life, so that yesterday's hot adapter does not
 * outweigh today's. Entries that have decayed to nothing are dropped: memory follows the active
 * adapters, not all that exist.
 *
 * <p>The half-life is long, so that adapters that are asked for every minute or so can be told
 * apart. By itself it would keep an adapter whose requests have ceased for minutes, and popularity
 * shifts without warning. So the value also falls with the time since the last request, measured in
 * the adapter's own usual gaps between requests.
 */
final class Popularity {

  private static final double HALF_LIFE_MILLIS = 300_000;
  private static final double MEMORY_MILLIS = HALF_LIFE_MILLIS / Math.log(2);
  private static final double GAPS_TO_HALF = 2;
  private static final double FORGOTTEN = 0.01;
  private static final int SWEEP_ABOVE = 256;

  private final Map<AdapterVersion, Count> counts = new HashMap<>();
  private int sweepAt = SWEEP_ABOVE;

  void requested(AdapterVersion adapter, long nowMillis) {
    Count earlier = counts.get(adapter);
    double before = earlier == null ? 0 : earlier.at(nowMillis);
    counts.put(adapter, new Count(before + 1, nowMillis));
    if (counts.size() > sweepAt) {
      counts.values().removeIf(count -> count.at(nowMillis) < FORGOTTEN);
      sweepAt = Math.max(SWEEP_ABOVE, 2 * counts.size());
    }
  }

  double value(AdapterVersion adapter, long nowMillis) {
    Count count = counts.get(adapter);
    if (count == null) {
      return 0;
    }
    double usualGapMillis = MEMORY_MILLIS / count.value;
    double gapsIdle = (nowMillis - count.atMillis) / usualGapMillis;
    return count.at(nowMillis) * Math.pow(0.5, gapsIdle / GAPS_TO_HALF);
  }

  private record Count(double value, long atMillis) {
    double at(long nowMillis) {
      return value * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
    }
  }
}
