package org.sequoiahub.core.runnerstate;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahub.core.concurrency.RunPermits;
import org.sequoiahub.core.ratelimit.RunnerLimits;
import org.sequoiahub.core.ratelimit.SenderPermits;

/**
 * Decides whether a call may be sent to a runner now, by what the runner stated: that it leaves,
 * that it wants a backoff, that it takes a limited rate of calls, or that it fails when it refuses
 * too many.
 *
 * <p>Statements belong to one incarnation of a runner, by whose key they are recorded. That a
 * runner leaves never ends, and all hosts tell each other. A backoff concerns only the host that
 * received it and ends at the latest time that the runner stated.
 */
public final class RunnerAvailability {

  /** Maximum number of runners of which a statement of each kind is kept. */
  public static final int MAX_RUNNERS = 4_096;

  /**
   * Divisor of the drain time. For this part of it, a leaving runner may still get a request that
   * no other runner can serve in time; the rest is for the request to arrive.
   */
  private static final int LAST_RESORT_DIVISOR = 2;

  /** How long it is kept that a runner without an entry leaves (ms). */
  private static final long RETENTION_MILLIS = 60_000;

  private final long lastResortMillis;
  private final SenderPermits permits;
  private final RunPermits runPermits;
  private final StatementListener listener;

  /** When each runner's statement that it leaves was first received by any host (ms). */
  private final Map<String, Leaving> leaving = new HashMap<>();

  private final Map<String, Backoff> backoffs = new HashMap<>();

  /** The keys of the runners' incarnations that had an entry lately. */
  private Set<String> knownRunners = Set.of();

  private record Leaving(long sinceMillis, boolean fromPeer) {}

  private record Backoff(long statedMillis, long untilMillis) {}

  /**
   * A statement in force, for operators.
   *
   * @param runner the key of the runner's incarnation
   * @param reason what it stated
   * @param ageMillis how long ago a host received it (ms)
   * @param leftMillis how long it remains in force (ms); negative if it never ends
   * @param fromPeer whether another host received it
   */
  public record Statement(
      String runner,
      SendDecision.Reason reason,
      long ageMillis,
      long leftMillis,
      boolean fromPeer) {}

  /**
   * Creates an instance that knows of no statement.
   *
   * @param drainMillis how long a runner serves at least after it stated that it leaves (ms)
   */
  public RunnerAvailability(
      long drainMillis, SenderPermits permits, RunPermits runPermits, StatementListener listener) {
    checkArgument(drainMillis > 0, "drainMillis must be above 0, was %s", drainMillis);
    this.lastResortMillis = drainMillis / LAST_RESORT_DIVISOR;
    this.permits = requireNonNull(permits, "permits must not be null");
    this.runPermits = requireNonNull(runPermits, "runPermits must not be null");
    this.listener = requireNonNull(listener, "listener must not be null");
  }

  /**
   * Applies the head of a response, except for what it states about the rate limit, which {@link
   * RunnerLimits} records.
   *
   * @param runner the key of the runner's incarnation
   * @return whether it is news that the other hosts need
   */
  public boolean observe(String runner, RunnerSignals signals, long nowMillis) {
    requireNonNull(runner, "runner must not be null");
    if (signals.backoffMillis() > 0) {
      recordBackoff(runner, signals.backoffMillis(), nowMillis);
    }
    return signals.leaving() && recordLeaving(runner, nowMillis, false, nowMillis);
  }

  /**
   * Applies another host's report that a runner leaves.
   *
   * @return whether it was not known
   */
  public boolean merge(LeavingReport report, long nowMillis) {
    return recordLeaving(report.runner(), nowMillis - report.ageMillis(), true, nowMillis);
  }

  private boolean recordLeaving(String runner, long sinceMillis, boolean fromPeer, long nowMillis) {
    Leaving known = leaving.get(runner);
    if (known != null) {
      if (sinceMillis < known.sinceMillis) {
        leaving.put(runner, new Leaving(sinceMillis, known.fromPeer));
      }
      return false;
    }
    // A late report must not restore what was removed with the runner.
    boolean obsolete =
        nowMillis - sinceMillis >= RETENTION_MILLIS && !knownRunners.contains(runner);
    if (obsolete || leaving.size() >= MAX_RUNNERS) {
      return false;
    }
    leaving.put(runner, new Leaving(sinceMillis, fromPeer));
    listener.leavingKnown(runner, fromPeer, nowMillis - sinceMillis, nowMillis);
    return true;
  }

  private void recordBackoff(String runner, long millis, long nowMillis) {
    Backoff known = backoffs.get(runner);
    if (known != null && known.untilMillis >= nowMillis + millis) {
      return;
    }
    if (known == null && backoffs.size() >= MAX_RUNNERS) {
      return;
    }
    boolean inForce = known != null && known.untilMillis > nowMillis;
    backoffs.put(runner, new Backoff(nowMillis, nowMillis + millis));
    listener.backoffBegun(runner, millis, inForce, nowMillis);
  }

  /** Returns whether a runner stated that it leaves. */
  public boolean isLeaving(String runner) {
    return leaving.containsKey(runner);
  }

  /** Returns whether any runner stated that it leaves. */
  public boolean isAnyLeaving() {
    return !leaving.isEmpty();
  }

  /** Returns whether any statement of any runner on leaving or backoff is kept. */
  public boolean isAnyKnown() {
    return !leaving.isEmpty() || !backoffs.isEmpty();
  }

  /**
   * Decides on a call that needs no permit, or before its permit is considered.
   *
   * @param runner the key of the runner's incarnation
   */
  public SendDecision decide(String runner, CallKind kind, long nowMillis) {
    Leaving left = leaving.get(runner);
    // A runner that leaves is still running and says so.
    if (left != null && kind != CallKind.PROBE) {
      long lastResortLeft = left.sinceMillis + lastResortMillis - nowMillis;
      if (kind != CallKind.REQUEST || lastResortLeft <= 0 || backoffLeft(runner, nowMillis) > 0) {
        return new SendDecision.Never(SendDecision.Reason.LEAVING);
      }
      return new SendDecision.LastResort(lastResortLeft);
    }
    long backoffLeft = backoffLeft(runner, nowMillis);
    return backoffLeft > 0
        ? new SendDecision.NotBefore(backoffLeft, SendDecision.Reason.BACKOFF)
        : new SendDecision.Now();
  }

  /**
   * Decides on a request, with the permits for the runner's rate and capacity.
   *
   * @param runner the key of the runner's incarnation
   * @param call identifies the request
   * @param priority its priority for a permit
   * @param permitCount how many permits it needs, with the orders that must precede it
   */
  public SendDecision decideRequest(
      String runner, Object call, int priority, int permitCount, long nowMillis) {
    SendDecision decision = decide(runner, CallKind.REQUEST, nowMillis);
    if (decision instanceof SendDecision.Never) {
      return decision;
    }
    long rateWait = permits.waitMillis(runner, call, priority, permitCount, nowMillis);
    long runWait = runPermits.queue().waitMillis(runner, call, priority, permitCount, nowMillis);
    long permitWait = Math.max(rateWait, runWait);
    if (permitWait <= decision.waitMillis()) {
      return decision;
    }
    return isLeaving(runner)
        ? new SendDecision.Never(SendDecision.Reason.LEAVING)
        : new SendDecision.NotBefore(
            permitWait,
            rateWait >= runWait ? SendDecision.Reason.RATE_LIMIT : SendDecision.Reason.CAPACITY);
  }

  /**
   * Takes the right to send a call now, with the permits that the runner needs, or requests them.
   *
   * @param runner the key of the runner's incarnation
   * @param call identifies the call
   * @param priority lower ones get permits first
   * @return whether the call may be sent now
   */
  public boolean tryAcquire(
      String runner, CallKind kind, Object call, int priority, long nowMillis) {
    SendDecision decision = decide(runner, kind, nowMillis);
    boolean open =
        decision instanceof SendDecision.Now || decision instanceof SendDecision.LastResort;
    if (!open || !runPermits.tryAcquire(runner, call, priority, nowMillis)) {
      return false;
    }
    boolean acquired = permits.tryAcquire(runner, call, priority, nowMillis);
    if (!acquired) {
      runPermits.putBack(runner, nowMillis);
    }
    return acquired;
  }

  /**
   * Returns whether a request can be sent only too late to be of use, so that it must be refused.
   * For a permit, that is after its deadline, or after its target latency while other calls wait
   * for one; for the end of a backoff, after its target latency.
   *
   * @param runner the key of the runner's incarnation
   * @param decision the decision on the request
   * @param targetMillis until when the response is in time (ms)
   * @param deadlineMillis until when the caller waits (ms)
   */
  public boolean isTooLate(
      String runner,
      SendDecision decision,
      long targetMillis,
      long deadlineMillis,
      long nowMillis) {
    if (!(decision instanceof SendDecision.NotBefore notBefore)) {
      return decision instanceof SendDecision.Never;
    }
    long waitMillis = notBefore.waitMillis();
    return switch (notBefore.reason()) {
      case RATE_LIMIT ->
          permits.isTooLate(runner, waitMillis, targetMillis, deadlineMillis, nowMillis);
      case CAPACITY ->
          runPermits.queue().isTooLate(runner, waitMillis, targetMillis, deadlineMillis, nowMillis);
      default -> nowMillis + waitMillis > Math.min(targetMillis, deadlineMillis);
    };
  }

  private long backoffLeft(String runner, long nowMillis) {
    Backoff backoff = backoffs.get(runner);
    return backoff == null ? 0 : Math.max(0, backoff.untilMillis - nowMillis);
  }

  /** Returns the runners that are known to leave, for the other hosts. */
  public List<LeavingReport> leavingReports(long nowMillis) {
    List<LeavingReport> reports = new ArrayList<>(leaving.size());
    leaving.forEach(
        (runner, left) ->
            reports.add(new LeavingReport(runner, Math.max(0, nowMillis - left.sinceMillis))));
    return reports;
  }

  /** Returns the statements on leaving and backoff that are in force. */
  public List<Statement> statements(long nowMillis) {
    List<Statement> statements = new ArrayList<>();
    leaving.forEach(
        (runner, left) ->
            statements.add(
                new Statement(
                    runner,
                    SendDecision.Reason.LEAVING,
                    nowMillis - left.sinceMillis,
                    -1,
                    left.fromPeer)));
    backoffs.forEach(
        (runner, backoff) ->
            statements.add(
                new Statement(
                    runner,
                    SendDecision.Reason.BACKOFF,
                    nowMillis - backoff.statedMillis,
                    Math.max(0, backoff.untilMillis - nowMillis),
                    false)));
    return statements;
  }

  /**
   * Removes backoffs that have ended and statements of runners that are gone.
   *
   * @param known the keys of the runners' incarnations that have an entry
   */
  public void removeStaleEntries(Set<String> known, long nowMillis) {
    knownRunners = known;
    for (Map.Entry<String, Leaving> entry : List.copyOf(leaving.entrySet())) {
      boolean old = nowMillis - entry.getValue().sinceMillis >= RETENTION_MILLIS;
      if (old && !knownRunners.contains(entry.getKey())) {
        leaving.remove(entry.getKey());
        listener.leavingForgotten(entry.getKey(), nowMillis);
      }
    }
    for (Map.Entry<String, Backoff> entry : List.copyOf(backoffs.entrySet())) {
      if (entry.getValue().untilMillis <= nowMillis) {
        backoffs.remove(entry.getKey());
        listener.backoffEnded(entry.getKey(), nowMillis);
      }
    }
  }
}
