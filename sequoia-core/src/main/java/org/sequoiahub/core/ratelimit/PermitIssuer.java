package org.sequoiahub.core.ratelimit;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Issues the permits of limited runners to the hosts that follow this one: for each runner at its
 * limit times the share of the fleet's hosts that follow.
 *
 * <p>Demands are states rather than events: a host repeats what it waits for, and a demand that is
 * not repeated lapses. Among the demands for a runner the lowest priority value comes first, and
 * among equal ones the host that has waited longest.
 */
public final class PermitIssuer {

  /**
   * The lowest rate at which permits are issued (per second), also for a runner that takes no
   * requests: without any response the fleet would not learn that the limit has ended.
   */
  public static final double MIN_PER_SECOND = 0.1;

  /** A runner that is not called accumulates the permits of this time (ms), at least one. */
  private static final long BURST_MILLIS = 250;

  /** How long a demand holds that is not repeated (ms). */
  private static final long DEMAND_TTL_MILLIS = 350;

  /** After this time a grant that its receiver has not acknowledged counts as lost (ms). */
  private static final long GRANT_LOST_MILLIS = 400;

  /** The wait that is stated while no permits can be issued (ms). */
  private static final long NO_SHARE_WAIT_MILLIS = 1_500;

  /** Maximum number of hosts whose demands are kept. */
  private static final int MAX_HOSTS = 4_096;

  private static final double MILLIS_PER_SECOND = 1_000;

  private static final Comparator<Wait> URGENCY =
      Comparator.comparingInt((Wait wait) -> wait.permits.firstKey())
          .thenComparingLong(wait -> wait.sinceMillis);

  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<String, HostDemands> hosts = new HashMap<>();
  private long grantNumber;

  /** The permits that have accumulated for a runner. */
  private static final class Bucket {
    double permits;
    long filledMillis;

    Bucket(long nowMillis) {
      this.filledMillis = nowMillis;
    }

    void fill(double perSecond, long nowMillis) {
      double maxPermits = Math.max(1, perSecond * BURST_MILLIS / MILLIS_PER_SECOND);
      double added = perSecond * (nowMillis - filledMillis) / MILLIS_PER_SECOND;
      permits = Math.min(maxPermits, permits + Math.max(0, added));
      filledMillis = nowMillis;
    }
  }

  /** What one host waits for. */
  private static final class HostDemands {
    final Map<String, Wait> byRunner = new HashMap<>();
    long receivedMillis;
    boolean replyDue;
  }

  /** What one host waits for at one runner. */
  private static final class Wait {
    /** Permits by priority. */
    final TreeMap<Integer, Integer> permits = new TreeMap<>();

    long sinceMillis;
    long lastGrantNumber;
    long lastGrantMillis;
    int lastGranted;

    int total() {
      int total = 0;
      for (int count : permits.values()) {
        total += count;
      }
      return total;
    }

    /** Removes permits, those of the lowest priority value first. */
    void remove(int count) {
      int left = count;
      while (left > 0 && !permits.isEmpty()) {
        int priority = permits.firstKey();
        int here = permits.getOrDefault(priority, 0);
        permits.put(priority, here - Math.min(here, left));
        permits.values().removeIf(remaining -> remaining <= 0);
        left -= here;
      }
    }
  }

  /**
   * The grants to one host.
   *
   * @param number the number that the host acknowledges in its next demands
   */
  public record HostGrants(long number, List<PermitGrant> grants) {}

  /** Returns whether no host waits for permits. */
  public boolean isIdle() {
    return hosts.isEmpty();
  }

  /**
   * Replaces the demands of a host.
   *
   * @param acknowledged the number of the last grants that the host received when it sent the
   *     demands; permits of later grants are deducted
   */
  public void receiveDemands(
      String host, long acknowledged, Collection<PermitDemand> demands, long nowMillis) {
    requireNonNull(host, "host must not be null");
    HostDemands state = hosts.get(host);
    if (state == null) {
      if (hosts.size() >= MAX_HOSTS || demands.isEmpty()) {
        return;
      }
      state = new HostDemands();
      hosts.put(host, state);
    }
    state.receivedMillis = nowMillis;
    state.replyDue = true;
    state.byRunner.values().forEach(wait -> wait.permits.clear());
    for (PermitDemand demand : demands) {
      if (state.byRunner.size() < RunnerLimits.MAX_RUNNERS) {
        Wait wait = state.byRunner.computeIfAbsent(demand.runner(), runner -> new Wait());
        wait.permits.merge(demand.priority(), demand.permits(), Integer::sum);
      }
    }
    for (Wait wait : state.byRunner.values()) {
      boolean grantUnderWay =
          acknowledged < wait.lastGrantNumber
              && nowMillis - wait.lastGrantMillis < GRANT_LOST_MILLIS;
      if (grantUnderWay) {
        wait.remove(wait.lastGranted);
      }
      if (wait.permits.isEmpty()) {
        wait.sinceMillis = 0;
      } else if (wait.sinceMillis == 0) {
        wait.sinceMillis = nowMillis;
      }
    }
  }

  /** Takes back permits that a host did not use, to issue them again. */
  public void takeBack(Map<String, Integer> unused) {
    unused.forEach(
        (runner, count) -> {
          Bucket bucket = buckets.get(runner);
          if (bucket != null) {
            // The next filling cuts off what exceeds the maximum.
            bucket.permits += count;
          }
        });
  }

  /**
   * Issues the permits that are due and returns the replies to send, by host.
   *
   * @param share the part of every limit that this host may issue, from 0 to 1
   */
  public Map<String, HostGrants> issue(RunnerLimits limits, double share, long nowMillis) {
    checkArgument(share >= 0 && share <= 1, "share must be from 0 to 1, was %s", share);
    hosts.values().removeIf(host -> nowMillis - host.receivedMillis >= DEMAND_TTL_MILLIS);
    Map<String, RunnerLimits.Limit> inForce = limits.inForce();
    buckets.keySet().retainAll(inForce.keySet());
    Map<String, Map<String, Integer>> granted = new HashMap<>();
    inForce.forEach(
        (runner, limit) -> {
          double perSecond = share * Math.max(MIN_PER_SECOND, limit.perSecond());
          Bucket bucket = buckets.computeIfAbsent(runner, id -> new Bucket(nowMillis));
          bucket.fill(perSecond, nowMillis);
          while (bucket.permits >= 1) {
            String host = nextHost(runner, nowMillis);
            if (host == null) {
              return;
            }
            bucket.permits--;
            granted.computeIfAbsent(host, h -> new HashMap<>()).merge(runner, 1, Integer::sum);
          }
        });
    return replies(granted, inForce, share, nowMillis);
  }

  /** Takes one permit off the most urgent demand; null if there is none. */
  private @Nullable String nextHost(String runner, long nowMillis) {
    String best = null;
    Wait bestWait = null;
    for (Map.Entry<String, HostDemands> entry : hosts.entrySet()) {
      Wait wait = entry.getValue().byRunner.get(runner);
      if (wait != null
          && !wait.permits.isEmpty()
          && (bestWait == null || URGENCY.compare(wait, bestWait) < 0)) {
        best = entry.getKey();
        bestWait = wait;
      }
    }
    if (bestWait != null) {
      bestWait.remove(1);
      bestWait.sinceMillis = nowMillis;
    }
    return best;
  }

  private Map<String, HostGrants> replies(
      Map<String, Map<String, Integer>> granted,
      Map<String, RunnerLimits.Limit> inForce,
      double share,
      long nowMillis) {
    Map<String, HostGrants> replies = new HashMap<>();
    hosts.forEach(
        (host, state) -> {
          Map<String, Integer> permits = granted.getOrDefault(host, Map.of());
          if (!state.replyDue && permits.isEmpty()) {
            return;
          }
          state.replyDue = false;
          long number = ++grantNumber;
          List<PermitGrant> grants = new ArrayList<>();
          state.byRunner.forEach(
              (runner, wait) -> {
                int count = permits.getOrDefault(runner, 0);
                RunnerLimits.Limit limit = inForce.get(runner);
                if (limit == null || (count == 0 && wait.permits.isEmpty())) {
                  return;
                }
                if (count > 0) {
                  wait.lastGrantNumber = number;
                  wait.lastGrantMillis = nowMillis;
                  wait.lastGranted = count;
                }
                grants.add(new PermitGrant(runner, count, waitMillis(runner, limit, share)));
              });
          if (!grants.isEmpty()) {
            replies.put(host, new HostGrants(number, grants));
          }
        });
    return replies;
  }

  private long waitMillis(String runner, RunnerLimits.Limit limit, double share) {
    if (share <= 0) {
      return NO_SHARE_WAIT_MILLIS;
    }
    double perSecond = share * Math.max(MIN_PER_SECOND, limit.perSecond());
    double waiting = 0;
    for (HostDemands host : hosts.values()) {
      Wait wait = host.byRunner.get(runner);
      waiting += wait == null ? 0 : wait.total();
    }
    Bucket bucket = buckets.get(runner);
    double missing = Math.max(1, waiting) - (bucket == null ? 0 : bucket.permits);
    return (long) Math.max(0, missing / perSecond * MILLIS_PER_SECOND);
  }
}
