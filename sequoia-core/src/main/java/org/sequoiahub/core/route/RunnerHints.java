package org.sequoiahub.core.route;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * The state of runners that an entry last observed in responses.
 *
 * <p>Hints are outdated by the time they are used. They only influence the choice of a runner; its
 * owner decides whether the runner serves a request.
 */
public final class RunnerHints {

  private static final int MAX_RESIDENCY_HINTS = 20_000;
  private static final long RESIDENCY_HINT_TTL_MILLIS = 15_000;
  private static final double WAIT_HALF_LIFE_MILLIS = 500;

  private final Map<String, ObservedWait> waits = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Cache<RunnerAdapter, Long> residencySeenMillis =
      CacheBuilder.newBuilder().maximumSize(MAX_RESIDENCY_HINTS).build();

  /**
   * Updates the hints from the response of a runner's owner to a request for {@code adapter}.
   *
   * @param waitMillis the wait that the owner expects for the request
   * @param isResident whether the adapter is loaded on the runner
   */
  public void update(
      String runner, AdapterVersion adapter, long waitMillis, boolean isResident, long nowMillis) {
    RunnerAdapter key = new RunnerAdapter(runner, adapter);
    if (isResident) {
      residencySeenMillis.put(key, nowMillis);
      waits.put(runner, new ObservedWait(waitMillis, nowMillis));
    } else {
      // The wait for a load does not apply to adapters that are already loaded, so it is not kept.
      residencySeenMillis.invalidate(key);
    }
  }

  /** Counts a request as in flight at a runner. */
  public void requestSent(String runner) {
    inFlight.merge(runner, 1, Integer::sum);
  }

  /** Counts a request at a runner as ended. */
  public void requestEnded(String runner) {
    inFlight.computeIfPresent(runner, (r, count) -> count > 1 ? count - 1 : null);
  }

  /** Returns the number of requests that this entry has in flight at a runner. */
  public int inFlight(String runner) {
    return inFlight.getOrDefault(runner, 0);
  }

  /** Returns the total number of requests that this entry has in flight at {@code runners}. */
  public int inFlight(List<Runner> runners) {
    return runners.stream().mapToInt(runner -> inFlight(runner.id())).sum();
  }

  /** Returns the last reported wait for loaded adapters, decayed by its age, in milliseconds. */
  public double expectedWaitMillis(String runner, long nowMillis) {
    ObservedWait wait = waits.get(runner);
    return wait == null
        ? 0
        : wait.millis * Math.pow(0.5, (nowMillis - wait.observedAtMillis) / WAIT_HALF_LIFE_MILLIS);
  }

  /**
   * Returns whether {@code adapter} was recently reported as loaded on {@code runner}.
   *
   * <p>Hints expire because an outdated hint is worse than none: it would send requests for a
   * rarely used adapter back to a runner that has evicted it, while other entries send them to the
   * first candidate, so the adapter would be loaded twice.
   */
  public boolean isResident(String runner, AdapterVersion adapter, long nowMillis) {
    Long seenMillis = residencySeenMillis.getIfPresent(new RunnerAdapter(runner, adapter));
    return seenMillis != null && nowMillis - seenMillis < RESIDENCY_HINT_TTL_MILLIS;
  }

  private record ObservedWait(double millis, long observedAtMillis) {}

  private record RunnerAdapter(String runner, AdapterVersion adapter) {}
}
