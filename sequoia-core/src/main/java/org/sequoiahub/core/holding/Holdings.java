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

  private static final LinkedHashSet<String> NONE_DROPPED = new LinkedHashSet<>();

  private final Map<String, Holding> byRunner = new HashMap<>();

  /** How often what each runner holds, or who orders it, was seen to change. */
  private final Map<String, Long> changes = new HashMap<>();

  /** When the last adapter that is on its way to each runner is there (ms). */
  private final Map<String, Long> lastReadyMillis = new HashMap<>();

  /** The adapters that each runner was seen to drop, the latest last. */
  private final Map<String, LinkedHashSet<String>> dropped = new HashMap<>();

  /**
   * What one runner holds.
   *
   * @param host the host that orders it
   * @param token larger for a later holder
   * @param toldMillis when the holder told it
   * @param items its adapters by name, those on their way included
   * @param models its base models
   * @param freePlaces places for adapters that are empty or hold idle ones
   * @param bringMillis how long an adapter takes from the weight store once it is ordered
   * @param queueMillis how long adapters wait lately until they are ordered
   * @param ordersFromMillis from when on the holder may order the runner
   * @param kept how many dropped adapters the runner is believed to bring back quickly
   */
  public record Holding(
      String host,
      long token,
      long toldMillis,
      Map<String, HeldItem> items,
      Set<String> models,
      int freePlaces,
      long bringMillis,
      long queueMillis,
      long ordersFromMillis,
      int kept) {
    /** Copies the collections. */
    public Holding {
      items = Map.copyOf(items);
      models = Set.copyOf(models);
    }
  }

  /** Takes in a holding; one of an earlier holder is ignored. */
  public void told(String runner, Holding holding) {
    Holding current = byRunner.get(runner);
    if (current == null || holding.token >= current.token) {
      byRunner.put(runner, holding);
      lastReadyMillis.put(runner, lastReadyMillis(holding));
      if (current == null || !isAlike(current, holding)) {
        changes.merge(runner, 1L, Long::sum);
      }
      if (current != null && !current.items.keySet().equals(holding.items.keySet())) {
        noteDropped(runner, current, holding);
      }
    }
  }

  /** Returns whether two holdings serve the same requests, now or as soon as they are there. */
  private static boolean isAlike(Holding before, Holding now) {
    return before.host.equals(now.host)
        && hasSameVersions(before.items, now.items)
        && before.models.equals(now.models)
        && (before.freePlaces > 0) == (now.freePlaces > 0);
  }

  private static boolean hasSameVersions(Map<String, HeldItem> before, Map<String, HeldItem> now) {
    if (before.size() != now.size()) {
      return false;
    }
    for (HeldItem item : now.values()) {
      HeldItem earlier = before.get(item.target());
      if (earlier == null || earlier.version() != item.version()) {
        return false;
      }
    }
    return true;
  }

  /** Returns a number that differs whenever what a runner holds has changed. */
  public long changes(String runner) {
    return changes.getOrDefault(runner, 0L);
  }

  private static long lastReadyMillis(Holding holding) {
    long last = Long.MIN_VALUE;
    for (HeldItem item : holding.items.values()) {
      last = Math.max(last, item.readyMillis());
    }
    return last;
  }

  private void noteDropped(String runner, Holding before, Holding now) {
    LinkedHashSet<String> list = dropped.computeIfAbsent(runner, id -> new LinkedHashSet<>());
    list.removeAll(now.items.keySet());
    for (String target : before.items.keySet()) {
      if (!now.items.containsKey(target)) {
        list.remove(target);
        list.add(target);
      }
    }
    Iterator<String> oldest = list.iterator();
    while (list.size() > now.kept && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Returns whether a runner dropped an adapter so lately that it brings it back quickly.
   *
   * <p>A host that does not know it sends the request to a runner that must fetch the adapter.
   */
  public boolean isKept(String runner, String target) {
    return dropped.getOrDefault(runner, NONE_DROPPED).contains(target);
  }

  /** Forgets the runners that are not among {@code known}. */
  public void retain(Set<String> known) {
    byRunner.keySet().retainAll(known);
    lastReadyMillis.keySet().retainAll(known);
    changes.keySet().retainAll(known);
    dropped.keySet().retainAll(known);
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
  public int transitElsewhere(String runner, long nowMillis) {
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
      for (HeldItem item : holding.items.values()) {
        transit += item.readyMillis() > nowMillis ? 1 : 0;
      }
    }
    return transit;
  }
}
