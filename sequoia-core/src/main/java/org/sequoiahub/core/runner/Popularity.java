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
  private static final double MEAN_LIFETIME_MILLIS = HALF_LIFE_MILLIS / Math.log(2);
  private static final double HALF_LIFE_GAPS = 2;
  private static final double NEGLIGIBLE_COUNT = 0.01;
  private static final int MIN_SWEEP_SIZE = 256;

  private final Map<AdapterVersion, Count> counts = new HashMap<>();
  private int sweepSize = MIN_SWEEP_SIZE;

  void recordRequest(AdapterVersion adapter, long nowMillis) {
    Count earlier = counts.get(adapter);
    double before = earlier == null ? 0 : earlier.at(nowMillis);
    counts.put(adapter, new Count(before + 1, nowMillis));
    if (counts.size() > sweepSize) {
      counts.values().removeIf(count -> count.at(nowMillis) < NEGLIGIBLE_COUNT);
      sweepSize = Math.max(MIN_SWEEP_SIZE, 2 * counts.size());
    }
  }

  double value(AdapterVersion adapter, long nowMillis) {
    Count count = counts.get(adapter);
    if (count == null) {
      return 0;
    }
    double usualGapMillis = MEAN_LIFETIME_MILLIS / count.value;
    double gapsIdle = (nowMillis - count.atMillis) / usualGapMillis;
    return count.at(nowMillis) * Math.pow(0.5, gapsIdle / HALF_LIFE_GAPS);
  }

  private record Count(double value, long atMillis) {
    double at(long nowMillis) {
      return value * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
    }
  }
}
