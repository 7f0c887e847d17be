package org.sequoiahub.core.ratelimit;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The permits that this host has for calls to limited runners, and the calls that wait for one.
 *
 * <p>A permit lapses unless it is used soon, so that permits of different times do not add up at
 * the runner.
 */
public final class SenderPermits {

  /** How long a permit can be used (ms). */
  private static final long PERMIT_TTL_MILLIS = 400;

  /** How long a request for a permit holds that is not repeated (ms). */
  private static final long REQUEST_TTL_MILLIS = 250;

  /** The wait that is assumed for a permit while nothing is known (ms): a request and its reply. */
  private static final long UNKNOWN_WAIT_MILLIS = 30;

  /** The wait that is assumed while this host follows no issuer (ms). */
  private static final long NO_ISSUER_WAIT_MILLIS = 1_500;

  /** Interval at which this host requests a permit to find out whether a limit has ended (ms). */
  private static final long OUTDATED_LIMIT_RETRY_MILLIS = 1_000;

  private final PermitTerms terms;
  private final IssuerFollowing following;
  private final Map<Object, Waiting> waiting = new HashMap<>();
  private final Map<String, Deque<Long>> permits = new HashMap<>();
  private final Map<String, Estimate> estimates = new HashMap<>();

  /** Permits that lapsed and that the issuer may issue again, by runner. */
  private final Map<String, Integer> lapsed = new HashMap<>();

  private long changeCount;

  /** A call that waits for a permit. */
  private record Waiting(String runner, int priority, long sinceMillis, long repeatedMillis) {
    Waiting repeatedAt(long nowMillis) {
      return new Waiting(runner, priority, sinceMillis, nowMillis);
    }
  }

  /** The wait for the last demand of a runner, as its issuer stated it. */
  private record Estimate(long waitMillis, long atMillis) {
    long leftMillis(long nowMillis) {
      return Math.max(0, waitMillis - (nowMillis - atMillis));
    }
  }

  /** Creates the state of a host that has no permits. */
  public SenderPermits(PermitTerms terms, IssuerFollowing following) {
    this.terms = requireNonNull(terms, "terms must not be null");
    this.following = requireNonNull(following, "following must not be null");
  }

  /**
   * Takes a permit for a call, or requests one. A request that is not repeated lapses.
   *
   * @param call identifies the call; a call waits for one runner at a time
   * @param priority the call's priority; lower ones get permits first
   * @return whether the call may be sent now, as it always may to a runner without a limit
   */
  public boolean tryAcquire(String runner, Object call, int priority, long nowMillis) {
    requireNonNull(call, "call must not be null");
    if (!terms.isLimited(runner)) {
      return true;
    }
    int before = 0;
    for (Map.Entry<Object, Waiting> entry : waiting.entrySet()) {
      Waiting other = entry.getValue();
      if (other.runner.equals(runner)
          && other.priority < priority
          && isCurrent(other, nowMillis)
          && !entry.getKey().equals(call)) {
        before++;
      }
    }
    if (inHand(runner, nowMillis) > before) {
      Objects.requireNonNull(permits.get(runner)).remove();
      withdraw(call);
      return true;
    }
    Waiting previous = waiting.get(call);
    if (previous != null && previous.runner.equals(runner) && previous.priority == priority) {
      waiting.put(call, previous.repeatedAt(nowMillis));
    } else {
      waiting.put(call, new Waiting(runner, priority, nowMillis, nowMillis));
      changeCount++;
    }
    return false;
  }

  /** Withdraws the request of a call that no longer needs a permit. */
  public void withdraw(Object call) {
    if (waiting.remove(call) != null) {
      changeCount++;
    }
  }

  /** Returns a number that changes whenever the demands do, apart from requests that lapse. */
  public long changeCount() {
    return changeCount;
  }

  /**
   * Returns the expected time until a call has its permits (ms); 0 for a runner without a limit.
   *
   * @param call identifies the call, which need not have requested a permit yet
   * @param priority the call's priority
   * @param count how many permits it needs one after the other, with the orders that precede it
   */
  public long waitMillis(String runner, Object call, int priority, int count, long nowMillis) {
    checkArgument(count > 0, "count must be above 0, was %s", count);
    if (!terms.isLimited(runner)) {
      return 0;
    }
    double interval = terms.intervalMillis(runner);
    return (long) (firstPermitMillis(runner, call, priority, nowMillis) + (count - 1) * interval);
  }

  private double firstPermitMillis(String runner, Object call, int priority, long nowMillis) {
    Estimate estimate = estimates.get(runner);
    Waiting own = waiting.get(call);
    boolean requested = own != null && own.runner.equals(runner);
    final boolean counted = requested && own != null && isCounted(own, estimate);
    int ahead = 0;
    int unknownAhead = 0;
    int countedBehind = 0;
    for (Map.Entry<Object, Waiting> entry : waiting.entrySet()) {
      Waiting other = entry.getValue();
      if (other.runner.equals(runner)
          && isCurrent(other, nowMillis)
          && !entry.getKey().equals(call)) {
        boolean otherCounted = isCounted(other, estimate);
        boolean isAhead =
            other.priority < priority
                || (other.priority == priority
                    && (own == null || !requested || other.sinceMillis <= own.sinceMillis));
        ahead += isAhead ? 1 : 0;
        unknownAhead += isAhead && !otherCounted ? 1 : 0;
        countedBehind += !isAhead && otherCounted ? 1 : 0;
      }
    }
    if (inHand(runner, nowMillis) > ahead) {
      return 0;
    }
    if (following.followed().isEmpty()) {
      return NO_ISSUER_WAIT_MILLIS;
    }
    double interval = terms.intervalMillis(runner);
    double left = estimate == null ? 0 : estimate.leftMillis(nowMillis);
    boolean recentEstimate =
        estimate != null && nowMillis - estimate.atMillis < OUTDATED_LIMIT_RETRY_MILLIS;
    if (!recentEstimate && terms.isOutdated(runner, nowMillis)) {
      // Only a response can end the limit, so that one is sought.
      return 0;
    }
    int additional = counted ? 0 : unknownAhead + (left > UNKNOWN_WAIT_MILLIS ? 1 : 0);
    return Math.max(UNKNOWN_WAIT_MILLIS, left - countedBehind * interval) + additional * interval;
  }

  /** Returns whether an estimate includes a call. */
  private static boolean isCounted(Waiting call, @Nullable Estimate estimate) {
    return estimate != null && call.sinceMillis <= estimate.atMillis;
  }

  /**
   * Returns whether a permit comes too late to be of use to a request: after its deadline, or after
   * its target latency while other calls wait, which the permit could still serve in time.
   *
   * @param waitMillis the wait that {@link #waitMillis} returned
   * @param targetMillis until when the response is in time (ms)
   * @param deadlineMillis until when the caller waits (ms)
   */
  public boolean isTooLate(
      String runner, long waitMillis, long targetMillis, long deadlineMillis, long nowMillis) {
    long permitMillis = nowMillis + waitMillis;
    return waitMillis > 0
        && (permitMillis > deadlineMillis
            || (permitMillis > targetMillis && isQueued(runner, nowMillis)));
  }

  /** Returns whether more calls wait for a runner than it takes in the time until the next one. */
  private boolean isQueued(String runner, long nowMillis) {
    Estimate estimate = estimates.get(runner);
    return terms.isLimited(runner)
        && estimate != null
        && estimate.leftMillis(nowMillis) > terms.intervalMillis(runner);
  }

  /** Applies a grant of the host that this host follows. */
  public void receiveGrant(PermitGrant grant, long nowMillis) {
    estimates.put(grant.runner(), new Estimate(grant.waitMillis(), nowMillis));
    if (grant.permits() > 0) {
      Deque<Long> granted = permits.computeIfAbsent(grant.runner(), id -> new ArrayDeque<>());
      for (int i = 0; i < grant.permits(); i++) {
        granted.add(nowMillis + PERMIT_TTL_MILLIS);
      }
    }
  }

  /**
   * Puts a permit back that was taken for a call, for another call.
   *
   * @param untilMillis until when it can be used (ms)
   */
  public void putBack(String runner, long untilMillis) {
    permits.computeIfAbsent(runner, id -> new ArrayDeque<>()).addFirst(untilMillis);
  }

  /** Discards the permits for a runner that are not used yet. */
  public void discard(String runner) {
    permits.remove(runner);
  }

  /** Returns how many permits for a runner can be used now. */
  public int available(String runner, long nowMillis) {
    return inHand(runner, nowMillis);
  }

  /** Discards the permits for a runner that exceed the calls which wait for one. */
  public void discardSurplus(String runner, long nowMillis) {
    int surplus = inHand(runner, nowMillis) - awaited(runner, nowMillis);
    Deque<Long> granted = permits.get(runner);
    for (int i = 0; granted != null && i < surplus; i++) {
      granted.removeLast();
    }
  }

  /** Returns whether a call of this host waits for a permit for a runner. */
  public boolean isAwaited(String runner, long nowMillis) {
    return awaited(runner, nowMillis) > 0;
  }

  private int awaited(String runner, long nowMillis) {
    int count = 0;
    for (Waiting call : waiting.values()) {
      count += call.runner.equals(runner) && isCurrent(call, nowMillis) ? 1 : 0;
    }
    return count;
  }

  /** Returns the permits that this host waits for, without those that it has. */
  public List<PermitDemand> demands(long nowMillis) {
    boolean lapsed = waiting.values().removeIf(call -> !isCurrent(call, nowMillis));
    changeCount += lapsed ? 1 : 0;
    Map<String, Map<Integer, Integer>> counts = new HashMap<>();
    for (Waiting call : waiting.values()) {
      if (terms.isLimited(call.runner)) {
        counts
            .computeIfAbsent(call.runner, runner -> new TreeMap<>())
            .merge(call.priority, 1, Integer::sum);
      }
    }
    List<PermitDemand> demands = new ArrayList<>();
    counts.forEach(
        (runner, byPriority) -> {
          int covered = inHand(runner, nowMillis);
          for (Map.Entry<Integer, Integer> entry : byPriority.entrySet()) {
            int uncovered = Math.max(0, entry.getValue() - covered);
            covered = Math.max(0, covered - entry.getValue());
            if (uncovered > 0) {
              demands.add(new PermitDemand(runner, entry.getKey(), uncovered));
            }
          }
        });
    return demands;
  }

  /** Returns the permits that lapsed unused since the last call, by runner. */
  public Map<String, Integer> takeLapsed(long nowMillis) {
    List.copyOf(permits.keySet()).forEach(runner -> inHand(runner, nowMillis));
    Map<String, Integer> taken = Map.copyOf(lapsed);
    lapsed.clear();
    return taken;
  }

  /** Removes the state of runners that have no limit any more. */
  public void removeStaleEntries(long nowMillis) {
    permits.keySet().removeIf(runner -> inHand(runner, nowMillis) == 0);
    estimates.keySet().removeIf(runner -> !terms.isLimited(runner));
    waiting.values().removeIf(call -> !isCurrent(call, nowMillis));
  }

  private static boolean isCurrent(Waiting call, long nowMillis) {
    return nowMillis - call.repeatedMillis < REQUEST_TTL_MILLIS;
  }

  private int inHand(String runner, long nowMillis) {
    Deque<Long> granted = permits.get(runner);
    if (granted == null) {
      return 0;
    }
    while (!granted.isEmpty() && granted.element() <= nowMillis) {
      granted.remove();
      lapsed.merge(runner, 1, Integer::sum);
    }
    return granted.size();
  }
}
