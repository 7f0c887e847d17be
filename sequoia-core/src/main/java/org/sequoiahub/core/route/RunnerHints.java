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

  private static final int MAX_RESIDENCY_HINTS = 20_000;
  private static final long RESIDENCY_HINT_TTL_MILLIS = 15_000;
  private static final double WAIT_HALF_LIFE_MILLIS = 500;

  private final Map<String, ObservedWait> waits = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Cache<RunnerAdapter, Long> residencySeenMillis =
      CacheBuilder.newBuilder().maximumSize(MAX_RESIDENCY_HINTS).build();

  /** Takes in what a runner's owner said of a request for {@code adapter}. */
  public void update(
      String runner, AdapterVersion adapter, long waitMillis, boolean isResident, long nowMillis) {
    RunnerAdapter pair = new RunnerAdapter(runner, adapter);
    if (isResident) {
      residencySeenMillis.put(pair, nowMillis);
      waits.put(runner, new ObservedWait(waitMillis, nowMillis));
    } else {
      // The wait for a load says nothing about adapters that are loaded there, so it is not kept.
      residencySeenMillis.invalidate(pair);
    }
  }

  /** Counts a request that is being sent to a runner. */
  public void requestSent(String runner) {
    inFlight.merge(runner, 1, Integer::sum);
  }

  /** Counts a request that ended. */
  public void requestEnded(String runner) {
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
  public double expectedWaitMillis(String runner, long nowMillis) {
    ObservedWait wait = waits.get(runner);
    return wait == null
        ? 0
        : wait.millis * Math.pow(0.5, (nowMillis - wait.observedAtMillis) / WAIT_HALF_LIFE_MILLIS);
  }

  /**
   * Returns whether {@code adapter} was loaded on {@code runner} when lately heard of.
   *
   * <p>An old hint is worse than none: it sends a rare adapter back to a runner that has evicted
   * it, while other entries send it to its first candidate, and it is loaded twice.
   */
  public boolean isResident(String runner, AdapterVersion adapter, long nowMillis) {
    Long since = residencySeenMillis.getIfPresent(new RunnerAdapter(runner, adapter));
    return since != null && nowMillis - since < RESIDENCY_HINT_TTL_MILLIS;
  }

  private record ObservedWait(double millis, long observedAtMillis) {}

  private record RunnerAdapter(String runner, AdapterVersion adapter) {}
}
