package org.sequoiahub.core.concurrency;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahub.core.ratelimit.IssuerFollowing;
import org.sequoiahub.core.ratelimit.PermitDemand;
import org.sequoiahub.core.ratelimit.PermitGrant;
import org.sequoiahub.core.ratelimit.PermitTerms;
import org.sequoiahub.core.ratelimit.SenderPermits;

/**
 * The calls of this host to runners, and its permits for calls to those that fail when they refuse
 * too many.
 *
 * <p>A permit belongs to its call until that has ended. It can then be used for another call for a
 * short time, if the issuer agrees; otherwise the issuer can issue it again.
 */
public final class RunPermits {

  /** How long a call may still occupy its runner after this host has cancelled it (ms). */
  private static final long CANCELLED_CALL_MILLIS = 250;

  /** How long a permit can be used for successive calls (ms). */
  private static final long REUSE_MILLIS = 500;

  /** How long the issuer's consent to use permits again holds (ms). */
  private static final long CONSENT_MILLIS = 500;

  /** How long a permit that is used again waits for its next call (ms). */
  private static final long NEXT_CALL_MILLIS = 30;

  /** The time between two permits that is assumed until the issuer states it (ms). */
  private static final long UNKNOWN_INTERVAL_MILLIS = 50;

  /** How long a runner without calls is still stated to the issuer (ms). */
  private static final long STATED_AFTER_MILLIS = 500;

  /** Maximum number of permits that are taken from one grant. */
  private static final int MAX_GRANT = 1 << 10;

  private final RefusalLimits limits;
  private final SenderPermits permits;
  private final Map<String, Calls> calls = new HashMap<>();
  private long changeCount;

  /** How a call ended. */
  public enum End {
    /** The runner answered, or the connection broke. */
    ANSWERED,
    /** The runner refused the call for want of capacity. */
    REFUSED,
    /** This host cancelled the call. */
    CANCELLED
  }

  /** This host's calls at one runner. */
  private static final class Calls {
    int inFlight;
    long answered;
    long refused;

    /** How many permits were granted, as this host last received it. */
    long granted;

    final Deque<Long> cancelledUntilMillis = new ArrayDeque<>();

    /** When the permits of the calls in flight were received (ms). */
    final Deque<Long> usedSinceMillis = new ArrayDeque<>();

    /** When the permits that are not used yet were received (ms). */
    final Deque<Long> unusedSinceMillis = new ArrayDeque<>();

    long reusableUntilMillis = Long.MIN_VALUE / 2;
    long intervalMillis = UNKNOWN_INTERVAL_MILLIS;
    long changedMillis;
    int capacity;
    int heldByAll;

    int cancelled(long nowMillis) {
      while (!cancelledUntilMillis.isEmpty() && cancelledUntilMillis.element() <= nowMillis) {
        cancelledUntilMillis.remove();
      }
      return cancelledUntilMillis.size();
    }
  }

  /** For which runners run permits are needed. */
  private final class Terms implements PermitTerms {
    @Override
    public boolean isLimited(String runner) {
      return limits.applies(runner);
    }

    @Override
    public double intervalMillis(String runner) {
      Calls known = calls.get(runner);
      return known == null ? UNKNOWN_INTERVAL_MILLIS : known.intervalMillis;
    }

    @Override
    public boolean isOutdated(String runner, long nowMillis) {
      return false;
    }
  }

  /** Creates the state of a host without calls. */
  public RunPermits(RefusalLimits limits, IssuerFollowing following) {
    this.limits = requireNonNull(limits, "limits must not be null");
    this.permits = new SenderPermits(new Terms(), following);
  }

  /** Returns whether calls to a runner need a permit. */
  public boolean isRequired(String runner) {
    return limits.applies(runner);
  }

  /** Returns the permits and the calls that wait for one. */
  public SenderPermits queue() {
    return permits;
  }

  /** Takes a permit for a call, or requests one, as {@link SenderPermits#tryAcquire} does. */
  public boolean tryAcquire(String runner, Object call, int priority, long nowMillis) {
    if (!isRequired(runner)) {
      return true;
    }
    boolean acquired = permits.tryAcquire(runner, call, priority, nowMillis);
    if (acquired) {
      Calls known = known(runner);
      Long since = known.unusedSinceMillis.poll();
      known.usedSinceMillis.add(since == null ? nowMillis : since);
    }
    return acquired;
  }

  /** Puts a permit back that was taken for a call which cannot be sent yet. */
  public void putBack(String runner, long nowMillis) {
    if (isRequired(runner)) {
      Calls known = known(runner);
      Long since = known.usedSinceMillis.pollLast();
      known.unusedSinceMillis.addFirst(since == null ? nowMillis : since);
      permits.putBack(runner, nowMillis + NEXT_CALL_MILLIS);
    }
  }

  /** Counts a call that is sent. */
  public void recordSent(String runner, long nowMillis) {
    Calls known = known(runner);
    known.inFlight++;
    changed(known, runner, nowMillis);
  }

  /** Counts the end of a call. */
  public void recordEnded(String runner, End end, long nowMillis) {
    Calls known = known(runner);
    known.inFlight = Math.max(0, known.inFlight - 1);
    if (!isRequired(runner)) {
      if (known.inFlight == 0) {
        calls.remove(runner);
      }
      return;
    }
    known.answered++;
    Long since = known.usedSinceMillis.poll();
    if (end == End.REFUSED) {
      known.refused++;
      known.reusableUntilMillis = Long.MIN_VALUE / 2;
      known.unusedSinceMillis.clear();
      permits.discard(runner);
    } else if (end == End.CANCELLED) {
      known.cancelledUntilMillis.add(nowMillis + CANCELLED_CALL_MILLIS);
    } else if (since != null
        && nowMillis < known.reusableUntilMillis
        && nowMillis - since < REUSE_MILLIS
        && permits.isAwaited(runner, nowMillis)) {
      known.unusedSinceMillis.addFirst(since);
      permits.putBack(runner, nowMillis + NEXT_CALL_MILLIS);
    }
    changed(known, runner, nowMillis);
  }

  private Calls known(String runner) {
    return calls.computeIfAbsent(runner, id -> new Calls());
  }

  private void changed(Calls known, String runner, long nowMillis) {
    if (isRequired(runner)) {
      known.changedMillis = nowMillis;
      changeCount++;
    }
  }

  /** Returns a number that changes whenever what the issuer should know does. */
  public long changeCount() {
    return changeCount + permits.changeCount();
  }

  /** Returns the runners with a permit that a waiting call can use now. */
  public Set<String> usableRunners(long nowMillis) {
    Set<String> usable = new HashSet<>();
    calls.forEach(
        (runner, known) -> {
          if (!known.unusedSinceMillis.isEmpty()
              && permits.available(runner, nowMillis) > 0
              && permits.isAwaited(runner, nowMillis)) {
            usable.add(runner);
          }
        });
    return usable;
  }

  /** Returns this host's calls and demands at the runners that need permits. */
  public List<HostCalls> report(long nowMillis) {
    Map<String, Map<Integer, Integer>> demands = new HashMap<>();
    for (PermitDemand demand : permits.demands(nowMillis)) {
      known(demand.runner());
      demands
          .computeIfAbsent(demand.runner(), runner -> new HashMap<>())
          .merge(demand.priority(), demand.permits(), Integer::sum);
    }
    List<HostCalls> reports = new ArrayList<>();
    calls.forEach(
        (runner, known) -> {
          permits.discardSurplus(runner, nowMillis);
          int held = held(runner, known, nowMillis);
          Map<Integer, Integer> wanted = demands.getOrDefault(runner, Map.of());
          boolean recent = nowMillis - known.changedMillis < STATED_AFTER_MILLIS;
          if (isRequired(runner) && (held > 0 || !wanted.isEmpty() || recent)) {
            reports.add(
                new HostCalls(runner, held, known.answered, known.refused, known.granted, wanted));
          }
        });
    return reports;
  }

  private int held(String runner, Calls known, long nowMillis) {
    return known.inFlight + known.cancelled(nowMillis) + permits.available(runner, nowMillis);
  }

  /**
   * Applies a grant of the host that this host follows.
   *
   * @param valid whether the issuer still counts the permits that it granted
   */
  public void receiveGrant(RunGrant grant, boolean valid, long nowMillis) {
    Calls known = known(grant.runner());
    known.intervalMillis = Math.max(1, grant.intervalMillis());
    known.capacity = grant.capacity();
    known.heldByAll = grant.held();
    known.reusableUntilMillis = grant.reusable() ? nowMillis + CONSENT_MILLIS : Long.MIN_VALUE / 2;
    int count = valid ? (int) Math.min(MAX_GRANT, Math.max(0, grant.granted() - known.granted)) : 0;
    known.granted = Math.max(known.granted, grant.granted());
    if (permits.available(grant.runner(), nowMillis) == 0) {
      known.unusedSinceMillis.clear();
    }
    for (int i = 0; i < count; i++) {
      known.unusedSinceMillis.add(nowMillis);
    }
    permits.receiveGrant(new PermitGrant(grant.runner(), count, grant.waitMillis()), nowMillis);
  }

  /**
   * Returns how many calls of all hosts a runner accepts, as the issuer stated last; 0 if never.
   */
  public int capacity(String runner) {
    Calls known = calls.get(runner);
    return known == null ? 0 : known.capacity;
  }

  /** Returns the calls and unused permits of all hosts, as the issuer stated last. */
  public int heldByAll(String runner) {
    Calls known = calls.get(runner);
    return known == null ? 0 : known.heldByAll;
  }

  /** Removes the state of runners that need no permits, or are gone, and have no calls. */
  public void removeStaleEntries(Set<String> knownRunners, long nowMillis) {
    permits.takeLapsed(nowMillis);
    permits.removeStaleEntries(nowMillis);
    calls
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().inFlight == 0
                    && (!isRequired(entry.getKey()) || !knownRunners.contains(entry.getKey())));
  }
}
