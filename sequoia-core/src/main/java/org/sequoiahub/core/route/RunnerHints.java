package org.sequoiahub.core.route;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * What an entry remembers of runners, from the answers that passed through it.
 *
 * <p>Hints are old by the time they are used. They only steer; whatever they say, the owner
 * decides.
 */
public final class RunnerHints {

  private static final int MAX_PAIRS = 20_000;
  private static final long RESIDENT_MILLIS = 15_000;
  private static final double HALF_LIFE_MILLIS = 500;

  private final Map<String, Wait> waits = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Cache<Pair, Long> residentSince =
      CacheBuilder.newBuilder().maximumSize(MAX_PAIRS).build();

  /** Takes in what a runner's owner said of a request for {@code adapter}. */
  public void heard(
      String runner, AdapterVersion adapter, long waitMillis, boolean isResident, long nowMillis) {
    Pair pair = new Pair(runner, adapter);
    if (isResident) {
      residentSince.put(pair, nowMillis);
      waits.put(runner, new Wait(waitMillis, nowMillis));
    } else {
      // The wait for a load says nothing about adapters that are loaded there, so it is not kept.
      residentSince.invalidate(pair);
    }
  }

  /** Counts a request that is being sent to a runner. */
  public void sent(String runner) {
    inFlight.merge(runner, 1, Integer::sum);
  }

  /** Counts a request that ended. */
  public void ended(String runner) {
    inFlight.computeIfPresent(runner, (r, count) -> count > 1 ? count - 1 : null);
  }

  /** Returns the requests that this entry has in flight at a runner. */
  public int inFlight(String runner) {
    return inFlight.getOrDefault(runner, 0);
  }

  /** Returns the requests that this entry has in flight at {@code runners} together. */
  public int inFlight(List<Runner> runners) {
    return runners.stream().mapToInt(runner -> inFlight(runner.id())).sum();
  }

  /** Returns the last wait of loaded adapters heard of, decayed by its age, in milliseconds. */
  public double waitMillis(String runner, long nowMillis) {
    Wait wait = waits.get(runner);
    return wait == null
        ? 0
        : wait.millis * Math.pow(0.5, (nowMillis - wait.atMillis) / HALF_LIFE_MILLIS);
  }

  /**
   * Returns whether {@code adapter} was loaded on {@code runner} when lately heard of.
   *
   * <p>An old hint is worse than none: it sends a rare adapter back to a runner that has evicted
   * it, while other entries send it to its first candidate, and it is loaded twice.
   */
  public boolean isResident(String runner, AdapterVersion adapter, long nowMillis) {
    Long since = residentSince.getIfPresent(new Pair(runner, adapter));
    return since != null && nowMillis - since < RESIDENT_MILLIS;
  }

  private record Wait(double millis, long atMillis) {}

  private record Pair(String runner, AdapterVersion adapter) {}
}
