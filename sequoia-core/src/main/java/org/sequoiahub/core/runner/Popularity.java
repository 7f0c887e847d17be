package org.sequoiahub.core.runner;

import java.util.HashMap;
import java.util.Map;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * Counts the requests per adapter version with exponential decay, so that formerly popular adapters
 * do not outweigh currently popular ones. Entries that have decayed to almost nothing are removed,
 * so that memory usage depends on the active adapters and not on all that exist.
 *
 * <p>The half-life is long enough to distinguish adapters that are requested about once a minute.
 * By itself it would keep an adapter for minutes after its requests have ceased, and popularity
 * changes without warning. The value therefore also decays with the time since the last request,
 * measured in the adapter's usual gaps between requests.
 */
final class Popularity {

  private static final double HALF_LIFE_MILLIS = 300_000;
  private static final double MEAN_LIFETIME_MILLIS = HALF_LIFE_MILLIS / Math.log(2);

  /** Half-life of the value of an idle adapter, in usual gaps between its requests. */
  private static final double HALF_LIFE_GAPS = 2;

  /** Counts below this are removed. */
  private static final double NEGLIGIBLE_COUNT = 0.01;

  /** Minimum number of entries from which on negligible ones are removed. */
  private static final int MIN_SWEEP_SIZE = 256;

  private final Map<AdapterVersion, Count> counts = new HashMap<>();
  private int sweepSize = MIN_SWEEP_SIZE;

  /** Records a request for an adapter. */
  void recordRequest(AdapterVersion adapter, long nowMillis) {
    Count earlier = counts.get(adapter);
    double before = earlier == null ? 0 : earlier.at(nowMillis);
    counts.put(adapter, new Count(before + 1, nowMillis));
    if (counts.size() > sweepSize) {
      counts.values().removeIf(count -> count.at(nowMillis) < NEGLIGIBLE_COUNT);
      sweepSize = Math.max(MIN_SWEEP_SIZE, 2 * counts.size());
    }
  }

  /** Returns the current popularity of an adapter; 0 if it was not requested recently. */
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
