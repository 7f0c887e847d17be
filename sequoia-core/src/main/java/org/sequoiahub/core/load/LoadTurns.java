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
 * Grants turns to load from the weight store, one at a time and no faster than its rate.
 *
 * <p>Turns only save the store's speed; no promise depends on them. Two keepers at once, or a turn
 * that is lost, cost time and nothing else. A turn that is not given back expires.
 *
 * <p>Not thread-safe: one duty owns it.
 *
 * @param <T> identifies who asks
 */
public final class LoadTurns<T> {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double URGENT_BONUS = 1e6;

  private final double spacingMillis;
  private final long turnLimitMillis;
  private final int maxGranted;
  private final Map<T, TurnRequest> waiting = new LinkedHashMap<>();
  private final Map<T, Long> granted = new LinkedHashMap<>();
  private double nextGrantMillis = Double.NEGATIVE_INFINITY;

  /**
   * Creates a keeper with no turn granted.
   *
   * @param loadsPerSecond the most turns granted a second, above 0
   * @param atOnce the most turns held at once
   * @param turnLimitMillis when a turn that was not given back expires
   */
  public LoadTurns(double loadsPerSecond, int atOnce, long turnLimitMillis) {
    checkArgument(loadsPerSecond > 0, "loadsPerSecond must be above 0");
    checkArgument(atOnce > 0, "atOnce must be above 0");
    checkArgument(turnLimitMillis > 0, "turnLimitMillis must be above 0");
    this.spacingMillis = MILLIS_PER_SECOND / loadsPerSecond;
    this.maxGranted = atOnce;
    this.turnLimitMillis = turnLimitMillis;
  }

  /** Asks for a turn; asking again renews the numbers and keeps the age. */
  public void request(T who, int requestsWaiting, boolean urgent, long nowMillis) {
    TurnRequest earlier = waiting.get(who);
    long since = earlier == null ? nowMillis : earlier.sinceMillis;
    if (!granted.containsKey(who)) {
      waiting.put(who, new TurnRequest(requestsWaiting, urgent, since));
    }
  }

  /** Takes back an ask, or ends a turn. */
  public void release(T who) {
    waiting.remove(who);
    granted.remove(who);
  }

  /** Withdraws the asks and ends the turns of those that {@code gone} names. */
  public void releaseIf(Predicate<T> gone) {
    waiting.keySet().removeIf(gone);
    granted.keySet().removeIf(gone);
  }

  /** Returns those whose turn starts now. */
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

  /** Returns how many ask. */
  public int waiting() {
    return waiting.size();
  }

  private Optional<T> next(long nowMillis) {
    return waiting.entrySet().stream()
        .max(Comparator.comparingDouble(entry -> entry.getValue().score(nowMillis)))
        .map(Map.Entry::getKey);
  }

  private record TurnRequest(int requests, boolean urgent, long sinceMillis) {
    /** Waiting time saved, roughly: more and older requests first, interactive ones before all. */
    double score(long nowMillis) {
      return (urgent ? URGENT_BONUS : 0) + requests * (double) (1 + nowMillis - sinceMillis);
    }
  }
}
