package org.sequoiahub.core.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Tracks what all hosts have in flight at the runners: exactly for this host, and as last reported
 * for the other hosts.
 *
 * <p>The runners' own reports are some hundred milliseconds old and do not include requests sent
 * since then. Hosts that relied on them would all choose the same runner at the same moment.
 */
public final class FleetLoad {

  /** Maximum age of another host's report (ms); an older one is from a dead or unreachable host. */
  private static final long MAX_AGE_MILLIS = 2_500;

  /** The source name of the totals over the whole fleet; no host has an empty name. */
  private static final String TOTALS = "";

  /** Nothing in flight. */
  public static final Use NONE = new Use(0, 0, 0, Map.of());

  private final Map<String, SourceLoad> others = new HashMap<>();
  private final Map<String, MutableUse> own = new HashMap<>();

  /**
   * The sums of the other sources' recent reports by runner. Each placement of a request reads them
   * for many runners, so they are kept up to date instead of being added up there.
   */
  private final Map<String, MutableUse> sums = new HashMap<>();

  /** The number of requests by adapter, over all runners and the other sources' recent reports. */
  private final Map<String, Integer> adapterSums = new HashMap<>();

  /** When the oldest report in the sums becomes too old (ms). */
  private long sumsValidUntilMillis = Long.MAX_VALUE;

  /**
   * What one source has in flight at one runner.
   *
   * @param requests the number of requests sent to the runner or waiting to be sent there
   * @param unreadTokens the prompt tokens of sent requests that the runner has not read yet
   * @param queuedTokens the prompt tokens of requests waiting to be sent
   * @param adapters the number of requests that use each adapter
   */
  public record Use(
      int requests, long unreadTokens, long queuedTokens, Map<String, Integer> adapters) {
    /** Copies the map. */
    public Use {
      adapters = Map.copyOf(adapters);
    }
  }

  /** The last report of one source: what it has in flight, by runner. */
  private static final class SourceLoad {
    final Map<String, Use> uses;
    final long receivedMillis;

    /** Whether the report is part of the sums; it is not once it is too old. */
    boolean summed;

    SourceLoad(Map<String, Use> uses, long receivedMillis) {
      this.uses = uses;
      this.receivedMillis = receivedMillis;
    }
  }

  /** Mutable counters of what is in flight at one runner. */
  private static final class MutableUse {
    int requests;
    long unreadTokens;
    long queuedTokens;
    final Map<String, Integer> adapters = new HashMap<>();

    void add(Use use) {
      requests += use.requests;
      unreadTokens += use.unreadTokens;
      queuedTokens += use.queuedTokens;
      use.adapters.forEach((adapter, count) -> addTo(adapters, adapter, count));
    }

    void subtract(Use use) {
      requests -= use.requests;
      unreadTokens -= use.unreadTokens;
      queuedTokens -= use.queuedTokens;
      use.adapters.forEach((adapter, count) -> addTo(adapters, adapter, -count));
    }

    Use use() {
      return new Use(requests, Math.max(0, unreadTokens), Math.max(0, queuedTokens), adapters);
    }
  }

  /**
   * Applies another source's report.
   *
   * @param uses the requests in flight by runner
   * @param complete whether the report is complete; otherwise it contains only the runners that
   *     changed since the previous report
   */
  public void update(String host, Map<String, Use> uses, boolean complete, long nowMillis) {
    Map<String, Use> now = new HashMap<>();
    SourceLoad before = others.get(host);
    if (!complete && before != null) {
      now.putAll(before.uses);
    }
    now.putAll(uses);
    now.values().removeIf(use -> use.requests == 0);
    removeFromSums(before);
    SourceLoad load = new SourceLoad(now, nowMillis);
    others.put(host, load);
    addToSums(load);
  }

  private void addToSums(SourceLoad load) {
    load.summed = true;
    load.uses.forEach(
        (runner, use) -> {
          sums.computeIfAbsent(runner, id -> new MutableUse()).add(use);
          use.adapters.forEach((adapter, count) -> addTo(adapterSums, adapter, count));
        });
    sumsValidUntilMillis = Math.min(sumsValidUntilMillis, load.receivedMillis + MAX_AGE_MILLIS);
  }

  private void removeFromSums(@Nullable SourceLoad load) {
    if (load == null || !load.summed) {
      return;
    }
    load.summed = false;
    load.uses.forEach(
        (runner, use) -> {
          MutableUse sum = requireNonNull(sums.get(runner), "a summed runner must have a sum");
          sum.subtract(use);
          if (sum.requests == 0) {
            sums.remove(runner);
          }
          use.adapters.forEach((adapter, count) -> addTo(adapterSums, adapter, -count));
        });
  }

  private static void addTo(Map<String, Integer> counts, String key, int added) {
    counts.merge(key, added, (count, more) -> count + more == 0 ? null : count + more);
  }

  /** Removes the reports from the sums that have become too old. */
  private void expireSums(long nowMillis) {
    if (nowMillis < sumsValidUntilMillis) {
      return;
    }
    sumsValidUntilMillis = Long.MAX_VALUE;
    for (SourceLoad load : others.values()) {
      if (!isRecent(load, nowMillis)) {
        removeFromSums(load);
      } else if (load.summed) {
        sumsValidUntilMillis = Math.min(sumsValidUntilMillis, load.receivedMillis + MAX_AGE_MILLIS);
      }
    }
  }

  /**
   * Replaces all reports with totals over the whole fleet, which include this host's own requests.
   */
  public void replaceWithTotals(Map<String, Use> sums, long nowMillis) {
    Map<String, Use> rest = new HashMap<>();
    sums.forEach((runner, sum) -> rest.put(runner, subtract(sum, own(runner))));
    others.values().forEach(this::removeFromSums);
    others.clear();
    update(TOTALS, rest, true, nowMillis);
  }

  /** Removes the totals over the whole fleet, because its parts are reported from now on. */
  public void removeTotals() {
    removeFromSums(others.remove(TOTALS));
  }

  /**
   * Subtracts a part from totals, which may be lower than the part if they are some 100 ms older.
   */
  private static Use subtract(Use sum, Use part) {
    return new Use(
        Math.max(0, sum.requests - part.requests),
        Math.max(0, sum.unreadTokens - part.unreadTokens),
        Math.max(0, sum.queuedTokens - part.queuedTokens),
        sum.adapters);
  }

  /** Returns the sums by runner over this host and the sources that {@code included} accepts. */
  public Map<String, Use> sums(Predicate<String> included, long nowMillis) {
    Map<String, MutableUse> sums = new HashMap<>();
    own.forEach(
        (runner, ownUse) -> sums.computeIfAbsent(runner, id -> new MutableUse()).add(ownUse.use()));
    others.forEach(
        (source, load) -> {
          if (included.test(source) && isRecent(load, nowMillis)) {
            load.uses.forEach(
                (runner, use) -> sums.computeIfAbsent(runner, id -> new MutableUse()).add(use));
          }
        });
    Map<String, Use> uses = new HashMap<>();
    sums.forEach((runner, sum) -> uses.put(runner, sum.use()));
    return uses;
  }

  /**
   * Adds to what this host has in flight.
   *
   * @param requests 1 for a request that starts or waits, -1 for one that ends, otherwise 0
   * @param unread the prompt tokens sent; negative once they were read
   * @param queued the prompt tokens waiting to be sent; negative once they were sent
   * @param target the adapter that the request uses; empty if none
   */
  public void add(String runner, int requests, long unread, long queued, String target) {
    MutableUse use = own.computeIfAbsent(runner, id -> new MutableUse());
    use.requests += requests;
    use.unreadTokens += unread;
    use.queuedTokens += queued;
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

  /** Returns how many requests of all hosts are in flight at a runner or wait to be sent there. */
  public int requests(String runner, long nowMillis) {
    MutableUse ownUse = own.get(runner);
    MutableUse sum = othersAt(runner, nowMillis);
    return (ownUse == null ? 0 : ownUse.requests) + (sum == null ? 0 : sum.requests);
  }

  /** Returns how many prompt tokens were sent to a runner that it has not read yet. */
  public long unreadTokens(String runner, long nowMillis) {
    MutableUse ownUse = own.get(runner);
    MutableUse sum = othersAt(runner, nowMillis);
    return (ownUse == null ? 0 : Math.max(0, ownUse.unreadTokens))
        + (sum == null ? 0 : sum.unreadTokens);
  }

  /** Returns how many prompt tokens wait to be sent to a runner. */
  public long queuedTokens(String runner, long nowMillis) {
    MutableUse ownUse = own.get(runner);
    MutableUse sum = othersAt(runner, nowMillis);
    return (ownUse == null ? 0 : Math.max(0, ownUse.queuedTokens))
        + (sum == null ? 0 : sum.queuedTokens);
  }

  /** Returns how many requests use an adapter at a runner or wait for it there. */
  public int uses(String runner, String target, long nowMillis) {
    MutableUse ownUse = own.get(runner);
    MutableUse sum = othersAt(runner, nowMillis);
    return (ownUse == null ? 0 : ownUse.adapters.getOrDefault(target, 0))
        + (sum == null ? 0 : sum.adapters.getOrDefault(target, 0));
  }

  /** Returns how many requests use an adapter or wait for it at any runner. */
  public int totalUses(String target, long nowMillis) {
    expireSums(nowMillis);
    int sum = adapterSums.getOrDefault(target, 0);
    for (MutableUse ownUse : own.values()) {
      sum += ownUse.adapters.getOrDefault(target, 0);
    }
    return sum;
  }

  private @Nullable MutableUse othersAt(String runner, long nowMillis) {
    expireSums(nowMillis);
    return sums.get(runner);
  }

  private static boolean isRecent(SourceLoad load, long nowMillis) {
    return nowMillis - load.receivedMillis < MAX_AGE_MILLIS;
  }

  /** Returns how many requests of this host are in flight or wait to be sent to a runner. */
  public int ownRequests(String runner) {
    MutableUse ownUse = own.get(runner);
    return ownUse == null ? 0 : ownUse.requests;
  }

  /** Returns what this host has in flight by runner, to be reported to the other hosts. */
  public Map<String, Use> own() {
    Map<String, Use> copy = new HashMap<>();
    own.keySet().forEach(runner -> copy.put(runner, own(runner)));
    return copy;
  }

  private Use own(String runner) {
    MutableUse use = own.get(runner);
    return use == null ? NONE : use.use();
  }
}
