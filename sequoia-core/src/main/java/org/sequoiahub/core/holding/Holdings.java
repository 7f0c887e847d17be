package org.sequoiahub.core.holding;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What the runners hold, as told by the hosts that order them. */
public final class Holdings {

  private static final LinkedHashSet<String> NO_ADAPTERS = new LinkedHashSet<>();

  private final Map<String, Holding> byRunner = new HashMap<>();

  /** How often what each runner holds, or who orders it, was seen to change. */
  private final Map<String, Long> changeCount = new HashMap<>();

  /** When the last adapter that is on its way to each runner is there (ms). */
  private final Map<String, Long> lastReadyMillis = new HashMap<>();

  /** The adapters that each runner was seen to drop, the latest last. */
  private final Map<String, LinkedHashSet<String>> recentlyUnloaded = new HashMap<>();

  /**
   * What one runner holds.
   *
   * @param host the host that orders it
   * @param token larger for a later holder
   * @param reportedMillis when the holder told it
   * @param adapters its adapters by name, those on their way included
   * @param models its base models
   * @param freePlaces places for adapters that are empty or hold idle ones
   * @param loadMillis how long an adapter takes from the weight store once it is ordered
   * @param queueMillis how long adapters wait lately until they are ordered
   * @param mayOrderFromMillis from when on the holder may order the runner
   * @param warmCapacity how many dropped adapters the runner is believed to bring back quickly
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

  /** Takes in a holding; one of an earlier holder is ignored. */
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

  /** Returns whether two holdings serve the same requests, now or as soon as they are there. */
  private static boolean servesSameRequests(Holding before, Holding now) {
    return before.host.equals(now.host)
        && hasSameVersions(before.adapters, now.adapters)
        && before.models.equals(now.models)
        && (before.freePlaces > 0) == (now.freePlaces > 0);
  }

  private static boolean hasSameVersions(Map<String, ResidentAdapter> before, Map<String, ResidentAdapter> now) {
    if (before.size() != now.size()) {
      return false;
    }
    for (ResidentAdapter item : now.values()) {
      ResidentAdapter earlier = before.get(item.target());
      if (earlier == null || earlier.version() != item.version()) {
        return false;
      }
    }
    return true;
  }

  /** Returns a number that differs whenever what a runner holds has changed. */
  public long changeCount(String runner) {
    return changeCount.getOrDefault(runner, 0L);
  }

  private static long lastReadyMillis(Holding holding) {
    long last = Long.MIN_VALUE;
    for (ResidentAdapter item : holding.adapters.values()) {
      last = Math.max(last, item.readyMillis());
    }
    return last;
  }

  private void recordUnloaded(String runner, Holding before, Holding now) {
    LinkedHashSet<String> list = recentlyUnloaded.computeIfAbsent(runner, id -> new LinkedHashSet<>());
    list.removeAll(now.adapters.keySet());
    for (String target : before.adapters.keySet()) {
      if (!now.adapters.containsKey(target)) {
        list.remove(target);
        list.add(target);
      }
    }
    Iterator<String> oldest = list.iterator();
    while (list.size() > now.warmCapacity && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Returns whether a runner dropped an adapter so lately that it brings it back quickly.
   *
   * <p>A host that does not know it sends the request to a runner that must fetch the adapter.
   */
  public boolean isWarm(String runner, String target) {
    return recentlyUnloaded.getOrDefault(runner, NO_ADAPTERS).contains(target);
  }

  /** Forgets the runners that are not among {@code known}. */
  public void retain(Set<String> known) {
    byRunner.keySet().retainAll(known);
    lastReadyMillis.keySet().retainAll(known);
    changeCount.keySet().retainAll(known);
    recentlyUnloaded.keySet().retainAll(known);
  }

  /** Returns what a runner holds, if its holder told. */
  public Optional<Holding> find(String runner) {
    return Optional.ofNullable(byRunner.get(runner));
  }

  /** Returns all holdings by runner; a view that changes with this object. */
  public Map<String, Holding> all() {
    return Collections.unmodifiableMap(byRunner);
  }

  /** Returns the largest token seen for a runner; 0 if none. */
  public long token(String runner) {
    Holding holding = byRunner.get(runner);
    return holding == null ? 0 : holding.token;
  }

  /**
   * Returns how many adapters are on their way to runners other than {@code runner}.
   *
   * <p>Asked before each order; most runners have none, which is known without a look at what they
   * hold.
   */
  public int inTransitElsewhere(String runner, long nowMillis) {
    int transit = 0;
    for (Map.Entry<String, Long> last : lastReadyMillis.entrySet()) {
      if (last.getValue() > nowMillis && !last.getKey().equals(runner)) {
        transit += transit(last.getKey(), nowMillis);
      }
    }
    return transit;
  }

  private int transit(String runner, long nowMillis) {
    Holding holding = byRunner.get(runner);
    int transit = 0;
    if (holding != null) {
      for (ResidentAdapter item : holding.adapters.values()) {
        transit += item.readyMillis() > nowMillis ? 1 : 0;
      }
    }
    return transit;
  }
}
