package org.sequoiahub.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What all hosts have in flight at the runners: this host's own to the last request, the others' as
 * they told it last.
 *
 * <p>Runners' own figures are some hundred milliseconds old and don't know what was sent since;
 * hosts that relied on them would all choose the same runner at the same moment.
 */
public final class FleetLoad {

  /** What another host told is forgotten after this (ms): it is dead or cut off. */
  private static final long MAX_AGE_MILLIS = 2_500;

  /** The source of sums over the whole fleet; no host has an empty name. */
  private static final String TOTALS = "";

  /** Nothing in flight. */
  public static final Use NONE = new Use(0, 0, 0, Map.of());

  private final Map<String, SourceLoad> others = new HashMap<>();
  private final Map<String, MutableUse> own = new HashMap<>();

  /**
   * What one host has in flight at one runner.
   *
   * @param requests requests sent, and those that wait to be sent there
   * @param unreadTokens prompt tokens of those sent that the runner has still to read
   * @param queuedTokens prompt tokens of those that wait to be sent
   * @param adapters how many of the requests use each adapter
   */
  public record Use(
      int requests, long unreadTokens, long queuedTokens, Map<String, Integer> adapters) {
    /** Copies the map. */
    public Use {
      adapters = Map.copyOf(adapters);
    }
  }

  /**
   * What one source told.
   *
   * @param uses by runner
   * @param adapterUses requests by adapter, over all runners
   */
  private record SourceLoad(
      Map<String, Use> uses, Map<String, Integer> adapterUses, long receivedMillis) {

    static SourceLoad of(Map<String, Use> uses, long toldMillis) {
      Map<String, Integer> adapterUses = new HashMap<>();
      for (Use use : uses.values()) {
        use.adapters.forEach((adapter, count) -> adapterUses.merge(adapter, count, Integer::sum));
      }
      return new SourceLoad(uses, adapterUses, toldMillis);
    }
  }

  /** What is in flight at one runner, while it is counted. */
  private static final class MutableUse {
    int requests;
    long unreadTokens;
    long queuedTokens;
    final Map<String, Integer> adapters = new HashMap<>();

    void add(Use use) {
      requests += use.requests;
      unreadTokens += use.unreadTokens;
      queuedTokens += use.queuedTokens;
      use.adapters.forEach((adapter, count) -> adapters.merge(adapter, count, Integer::sum));
    }

    Use use() {
      return new Use(requests, Math.max(0, unreadTokens), Math.max(0, queuedTokens), adapters);
    }
  }

  /**
   * Takes in what another host told.
   *
   * @param complete whether it told all; otherwise only what has changed since
   */
  public void update(String host, Map<String, Use> uses, boolean complete, long nowMillis) {
    Map<String, Use> now = new HashMap<>();
    SourceLoad before = others.get(host);
    if (!complete && before != null) {
      now.putAll(before.uses);
    }
    now.putAll(uses);
    now.values().removeIf(use -> use.requests == 0);
    others.put(host, SourceLoad.of(now, nowMillis));
  }

  /**
   * Takes in the sums over the whole fleet, this host's own part included, in place of all that was
   * told before.
   */
  public void replaceWithTotals(Map<String, Use> sums, long nowMillis) {
    Map<String, Use> rest = new HashMap<>();
    sums.forEach((runner, sum) -> rest.put(runner, subtract(sum, own(runner))));
    others.clear();
    update(TOTALS, rest, true, nowMillis);
  }

  /** Forgets sums over the whole fleet: its parts are told from now on. */
  public void removeTotals() {
    others.remove(TOTALS);
  }

  /** The sums may be some 100 ms older than this host's own part, so they can be below it. */
  private static Use subtract(Use sum, Use part) {
    return new Use(
        Math.max(0, sum.requests - part.requests),
        Math.max(0, sum.unreadTokens - part.unreadTokens),
        Math.max(0, sum.queuedTokens - part.queuedTokens),
        sum.adapters);
  }

  /** Returns the sums over this host and those other sources that {@code included} accepts. */
  public Map<String, Use> sums(Predicate<String> included, long nowMillis) {
    Map<String, MutableUse> sums = new HashMap<>();
    own.forEach(
        (runner, mine) -> sums.computeIfAbsent(runner, id -> new MutableUse()).add(mine.use()));
    others.forEach(
        (source, told) -> {
          if (included.test(source) && isRecent(told, nowMillis)) {
            told.uses.forEach(
                (runner, use) -> sums.computeIfAbsent(runner, id -> new MutableUse()).add(use));
          }
        });
    Map<String, Use> uses = new HashMap<>();
    sums.forEach((runner, sum) -> uses.put(runner, sum.use()));
    return uses;
  }

  /**
   * Adds to this host's own part.
   *
   * @param requests 1 for a request that starts or waits there, -1 for one that ends, else 0
   * @param unread prompt tokens sent and to be read, negative once they were
   * @param held prompt tokens that wait to be sent, negative once they were
   * @param target the adapter that the request uses; empty for none
   */
  public void add(String runner, int requests, long unread, long held, String target) {
    MutableUse use = own.computeIfAbsent(runner, id -> new MutableUse());
    use.requests += requests;
    use.unreadTokens += unread;
    use.queuedTokens += held;
    if (!target.isEmpty() && requests != 0) {
      int left = use.adapters.merge(target, requests, Integer::sum);
      if (left <= 0) {
        use.adapters.remove(target);
      }
    }
    if (use.requests == 0) {
      own.remove(runner);
    }
  }

  /** Returns how many requests are at a runner. */
  public int requests(String runner, long nowMillis) {
    MutableUse mine = own.get(runner);
    int sum = mine == null ? 0 : mine.requests;
    for (SourceLoad told : others.values()) {
      sum += isRecent(told, nowMillis) ? use(told, runner).requests : 0;
    }
    return sum;
  }

  /** Returns how many prompt tokens a runner has still to read. */
  public long unreadTokens(String runner, long nowMillis) {
    MutableUse mine = own.get(runner);
    long sum = mine == null ? 0 : Math.max(0, mine.unreadTokens);
    for (SourceLoad told : others.values()) {
      sum += isRecent(told, nowMillis) ? use(told, runner).unreadTokens : 0;
    }
    return Math.max(0, sum);
  }

  /** Returns how many prompt tokens wait to be sent to a runner. */
  public long queuedTokens(String runner, long nowMillis) {
    MutableUse mine = own.get(runner);
    long sum = mine == null ? 0 : Math.max(0, mine.queuedTokens);
    for (SourceLoad told : others.values()) {
      sum += isRecent(told, nowMillis) ? use(told, runner).queuedTokens : 0;
    }
    return Math.max(0, sum);
  }

  /** Returns how many requests use an adapter at a runner or wait for it there. */
  public int uses(String runner, String target, long nowMillis) {
    MutableUse mine = own.get(runner);
    int sum = mine == null ? 0 : mine.adapters.getOrDefault(target, 0);
    for (SourceLoad told : others.values()) {
      if (isRecent(told, nowMillis)) {
        sum += use(told, runner).adapters.getOrDefault(target, 0);
      }
    }
    return sum;
  }

  /** Returns how many requests use an adapter or wait for it, at all runners. */
  public int totalUses(String target, long nowMillis) {
    int sum = 0;
    for (MutableUse mine : own.values()) {
      sum += mine.adapters.getOrDefault(target, 0);
    }
    for (SourceLoad told : others.values()) {
      sum += isRecent(told, nowMillis) ? told.adapterUses.getOrDefault(target, 0) : 0;
    }
    return sum;
  }

  private static boolean isRecent(SourceLoad told, long nowMillis) {
    return nowMillis - told.receivedMillis < MAX_AGE_MILLIS;
  }

  /** Returns how many requests this host itself has at a runner. */
  public int ownRequests(String runner) {
    MutableUse mine = own.get(runner);
    return mine == null ? 0 : mine.requests;
  }

  /** Returns this host's own part, for the others. */
  public Map<String, Use> own() {
    Map<String, Use> copy = new HashMap<>();
    own.keySet().forEach(runner -> copy.put(runner, own(runner)));
    return copy;
  }

  private Use own(String runner) {
    MutableUse use = own.get(runner);
    return use == null ? NONE : use.use();
  }

  private static Use use(SourceLoad told, String runner) {
    return told.uses.getOrDefault(runner, NONE);
  }
}
