package org.sequoiahub.core.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Grants permits ("turns") to load from the weight store, limiting their number and their rate.
 *
 * <p>Turns only preserve the speed of the weight store; no guarantee depends on them. Two keepers
 * at once or a lost turn only cost time. A turn that is not released expires.
 *
 * <p>Not thread-safe: must be used by a single duty.
 *
 * @param <T> identifies the requester of a turn
 */
public final class LoadTurns<T> {

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Added to the score of an urgent request: about the score of 1000 requests that have waited for
   * 1 s. A request that is not urgent precedes an urgent one only if its score exceeds the other's
   * without the bonus by at least this much.
   */
  private static final double URGENT_BONUS = 1e6;

  private final double spacingMillis;
  private final long turnLimitMillis;
  private final int maxGranted;
  private final Map<T, TurnRequest> waiting = new LinkedHashMap<>();
  private final Map<T, Long> granted = new LinkedHashMap<>();
  private double nextGrantMillis = Double.NEGATIVE_INFINITY;

  /**
   * Creates a keeper that has granted no turn.
   *
   * @param loadsPerSecond the maximum number of turns granted per second, above 0
   * @param maxGranted the maximum number of turns granted at once, above 0
   * @param turnLimitMillis the time after which a turn that was not released expires (ms), above 0
   */
  public LoadTurns(double loadsPerSecond, int maxGranted, long turnLimitMillis) {
    checkArgument(loadsPerSecond > 0, "loadsPerSecond must be above 0");
    checkArgument(maxGranted > 0, "maxGranted must be above 0");
    checkArgument(turnLimitMillis > 0, "turnLimitMillis must be above 0");
    this.spacingMillis = MILLIS_PER_SECOND / loadsPerSecond;
    this.maxGranted = maxGranted;
    this.turnLimitMillis = turnLimitMillis;
  }

  /**
   * Requests a turn. A repeated request updates its parameters and keeps its age.
   *
   * @param who the requester
   * @param requestsWaiting the number of requests that wait for the load
   * @param urgent whether the request precedes those that are not urgent, except one that stands
   *     for so many requests, or is so old, that it makes up for the bonus of the urgent one
   */
  public void request(T who, int requestsWaiting, boolean urgent, long nowMillis) {
    TurnRequest earlier = waiting.get(who);
    long since = earlier == null ? nowMillis : earlier.sinceMillis;
    if (!granted.containsKey(who)) {
      waiting.put(who, new TurnRequest(requestsWaiting, urgent, since));
    }
  }

  /** Withdraws a request, or releases a granted turn. */
  public void release(T who) {
    waiting.remove(who);
    granted.remove(who);
  }

  /** Withdraws the requests and releases the turns of the requesters that {@code gone} accepts. */
  public void releaseIf(Predicate<T> gone) {
    waiting.keySet().removeIf(gone);
    granted.keySet().removeIf(gone);
  }

  /** Grants the turns that are due and returns their requesters. */
  public List<T> grant(long nowMillis) {
    granted.values().removeIf(since -> nowMillis - since >= turnLimitMillis);
    List<T> now = new ArrayList<>();
    while (granted.size() < maxGranted && nowMillis >= nextGrantMillis) {
      Optional<T> next = next(nowMillis);
      if (next.isEmpty()) {
        break;
      }
      waiting.remove(next.get());
      granted.put(next.get(), nowMillis);
      nextGrantMillis = Math.max(nextGrantMillis + spacingMillis, nowMillis);
      now.add(next.get());
    }
    return now;
  }

  /** Returns how many requests for a turn are waiting. */
  public int waiting() {
    return waiting.size();
  }

  private Optional<T> next(long nowMillis) {
    return waiting.entrySet().stream()
        .max(Comparator.comparingDouble(entry -> entry.getValue().score(nowMillis)))
        .map(Map.Entry::getKey);
  }

  private record TurnRequest(int requests, boolean urgent, long sinceMillis) {
    /**
     * Returns the score by which the next turn is chosen, the highest first: the approximate
     * waiting time that the load saves (the number of requests times the age in ms), plus {@link
     * #URGENT_BONUS} if urgent.
     */
    double score(long nowMillis) {
      return (urgent ? URGENT_BONUS : 0) + requests * (double) (1 + nowMillis - sinceMillis);
    }
  }
}
