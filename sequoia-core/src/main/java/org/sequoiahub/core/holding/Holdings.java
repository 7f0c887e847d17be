package org.sequoiahub.core.holding;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What the runners hold, as told by the hosts that order them. */
public final class Holdings {

  private final Map<String, Holding> byRunner = new HashMap<>();

  /**
   * What one runner holds.
   *
   * @param host the host that orders it
   * @param token larger for a later holder
   * @param toldMillis when the holder told it
   * @param items its adapters by name, those on their way included
   * @param models its base models
   * @param freePlaces places for adapters that are empty or hold idle ones
   */
  public record Holding(
      String host,
      long token,
      long toldMillis,
      Map<String, HeldItem> items,
      Set<String> models,
      int freePlaces) {
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
    }
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

  /** Returns how many adapters are on their way to runners other than {@code runner}. */
  public int transitElsewhere(String runner, long nowMillis) {
    int transit = 0;
    for (Map.Entry<String, Holding> entry : byRunner.entrySet()) {
      if (!entry.getKey().equals(runner)) {
        for (HeldItem item : entry.getValue().items.values()) {
          transit += item.readyMillis() > nowMillis ? 1 : 0;
        }
      }
    }
    return transit;
  }
}
