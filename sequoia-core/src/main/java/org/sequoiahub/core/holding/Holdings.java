package org.sequoiahub.core.holding;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Stores what each runner holds, as reported by the host that orders it. */
public final class Holdings {

  private static final LinkedHashSet<String> NO_ADAPTERS = new LinkedHashSet<>();

  private final Map<String, Holding> byRunner = new HashMap<>();

  /** The number of observed changes of what each runner holds or of its holder. */
  private final Map<String, Long> changeCount = new HashMap<>();

  /** When the last adapter in transit to each runner is expected to be ready (ms). */
  private final Map<String, Long> lastReadyMillis = new HashMap<>();

  /** The adapters that each runner recently unloaded, in unload order. */
  private final Map<String, LinkedHashSet<String>> recentlyUnloaded = new HashMap<>();

  /**
   * What one runner holds, as reported by its holder.
   *
   * @param host the holder, the host that orders the runner
   * @param token the holder's token; a later holder has a larger one
   * @param reportedMillis when the holder reported it (ms)
   * @param adapters its adapters by name, including those in transit
   * @param models its base models
   * @param freePlaces the number of adapter places that are empty or hold an idle adapter
   * @param loadMillis how long an adapter takes to load from the weight store once ordered (ms)
   * @param queueMillis how long adapters currently wait until their load is ordered (ms)
   * @param mayOrderFromMillis the time from which the holder may order the runner (ms)
   * @param warmCapacity how many unloaded adapters the runner is believed to reload quickly
   */
  public record Holding(
      String host,
      long token,
      long reportedMillis,
      Map<String, ResidentAdapter> adapters,
      Set<String> models,
      int freePlaces,
      long loadMillis,
      long queueMillis,
      long mayOrderFromMillis,
      int warmCapacity) {
    /** Copies the collections. */
    public Holding {
      adapters = Map.copyOf(adapters);
      models = Set.copyOf(models);
    }
  }

  /** Stores a runner's holding; a report of an earlier holder is ignored. */
  public void update(String runner, Holding holding) {
    Holding current = byRunner.get(runner);
    if (current == null || holding.token >= current.token) {
      byRunner.put(runner, holding);
      lastReadyMillis.put(runner, lastReadyMillis(holding));
      if (current == null || !servesSameRequests(current, holding)) {
        changeCount.merge(runner, 1L, Long::sum);
      }
      if (current != null && !current.adapters.keySet().equals(holding.adapters.keySet())) {
        recordUnloaded(runner, current, holding);
      }
    }
  }

  /** Returns whether two holdings can serve the same requests once all loads have finished. */
  private static boolean servesSameRequests(Holding before, Holding now) {
    return before.host.equals(now.host)
        && hasSameVersions(before.adapters, now.adapters)
        && before.models.equals(now.models)
        && (before.freePlaces > 0) == (now.freePlaces > 0);
  }

  private static boolean hasSameVersions(
      Map<String, ResidentAdapter> before, Map<String, ResidentAdapter> now) {
    if (before.size() != now.size()) {
      return false;
    }
    for (ResidentAdapter adapter : now.values()) {
      ResidentAdapter earlier = before.get(adapter.target());
      if (earlier == null || earlier.version() != adapter.version()) {
        return false;
      }
    }
    return true;
  }

  /** Returns a number that changes whenever what a runner holds or its holder has changed. */
  public long changeCount(String runner) {
    return changeCount.getOrDefault(runner, 0L);
  }

  private static long lastReadyMillis(Holding holding) {
    long last = Long.MIN_VALUE;
    for (ResidentAdapter adapter : holding.adapters.values()) {
      last = Math.max(last, adapter.readyMillis());
    }
    return last;
  }

  private void recordUnloaded(String runner, Holding before, Holding now) {
    LinkedHashSet<String> unloaded =
        recentlyUnloaded.computeIfAbsent(runner, id -> new LinkedHashSet<>());
    unloaded.removeAll(now.adapters.keySet());
    for (String target : before.adapters.keySet()) {
      if (!now.adapters.containsKey(target)) {
        unloaded.remove(target);
        unloaded.add(target);
      }
    }
    Iterator<String> oldest = unloaded.iterator();
    while (unloaded.size() > now.warmCapacity && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Returns whether a runner unloaded an adapter so recently that it can reload it quickly.
   *
   * <p>Without this a host would send the request to a runner that has to load the adapter from the
   * weight store.
   */
  public boolean isWarm(String runner, String target) {
    return recentlyUnloaded.getOrDefault(runner, NO_ADAPTERS).contains(target);
  }

  /** Removes the runners that are not in {@code known}. */
  public void retain(Set<String> known) {
    byRunner.keySet().retainAll(known);
    lastReadyMillis.keySet().retainAll(known);
    changeCount.keySet().retainAll(known);
    recentlyUnloaded.keySet().retainAll(known);
  }

  /** Returns what a runner holds; empty if no holder has reported it. */
  public Optional<Holding> find(String runner) {
    return Optional.ofNullable(byRunner.get(runner));
  }

  /** Returns an unmodifiable live view of all holdings by runner. */
  public Map<String, Holding> all() {
    return Collections.unmodifiableMap(byRunner);
  }

  /** Returns the largest holder token seen for a runner; 0 if none. */
  public long token(String runner) {
    Holding holding = byRunner.get(runner);
    return holding == null ? 0 : holding.token;
  }

  /**
   * Returns how many adapters are in transit to runners other than {@code runner}.
   *
   * <p>Called before each order. Most runners have no adapter in transit, which is known without
   * iterating over their adapters.
   */
  public int inTransitElsewhere(String runner, long nowMillis) {
    int transit = 0;
    for (Map.Entry<String, Long> last : lastReadyMillis.entrySet()) {
      if (last.getValue() > nowMillis && !last.getKey().equals(runner)) {
        transit += inTransit(last.getKey(), nowMillis);
      }
    }
    return transit;
  }

  private int inTransit(String runner, long nowMillis) {
    Holding holding = byRunner.get(runner);
    int transit = 0;
    if (holding != null) {
      for (ResidentAdapter adapter : holding.adapters.values()) {
        transit += adapter.readyMillis() > nowMillis ? 1 : 0;
      }
    }
    return transit;
  }
}
