package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.runtime.log.EventLog;

/** The requests that wait at a runner to be sent; used by the decision thread only. */
final class WaitingCalls {

  /**
   * Interval at which a request is placed again whose adapter is ready, but which waits for the
   * prompts ahead of it to be read (ms).
   */
  private static final long PROMPT_WAIT_INTERVAL_MILLIS = 30;

  /**
   * Longest interval at which a request that waits for its adapter is placed again (ms). It is also
   * placed when the adapter is due and when the holding of its runner changes; placing it more
   * often would only give the same result.
   */
  private static final long ADAPTER_WAIT_INTERVAL_MILLIS = 100;

  private final FleetView fleet;
  private final RunnerStates runnerStates;
  private final Runnable inFlightListener;
  private final EventLog log;
  private final WaitingDemands waitingDemands = new WaitingDemands();

  /**
   * Creates an empty set.
   *
   * @param inFlightListener invoked when the load that this host has in flight has changed
   */
  WaitingCalls(
      FleetView fleet, RunnerStates runnerStates, Runnable inFlightListener, EventLog log) {
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.runnerStates = requireNonNull(runnerStates, "runnerStates must not be null");
    this.inFlightListener = requireNonNull(inFlightListener, "inFlightListener must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Returns whether any request waits for a runner. */
  boolean isAnyWaiting() {
    return waitingDemands.isAnyWaiting();
  }

  /**
   * Returns the demand of the waiting requests, and for the adapters of leaving runners, by runner
   * id, if it must be reported now; it is then marked as reported.
   */
  Optional<Map<String, List<Demand>>> takeDemandsIfDue(Collection<Call> calls, long nowMillis) {
    return waitingDemands.takeIfDue(calls, () -> fleet.relocations(nowMillis), nowMillis);
  }

  /** Returns whether a waiting request must be placed again. */
  boolean isPlacementDue(Call call, long nowMillis) {
    RunnerEntry runner = call.waitingAt;
    return nowMillis >= call.nextPlacementMillis
        || runner == null
        || fleet.holdingRevision(runner) != call.holdingRevision;
  }

  /** Makes a request wait at a runner, and counts it there. */
  void waitAt(Call call, Candidate candidate, long nowMillis) {
    long adapterWait = candidate.adapterWaitMillis();
    long knownWait =
        candidate.sendDecision().waitsForPermit()
            ? adapterWait
            : Math.max(adapterWait, candidate.sendWaitMillis());
    call.nextPlacementMillis =
        nowMillis
            + (knownWait > 0
                ? Math.min(ADAPTER_WAIT_INTERVAL_MILLIS, knownWait)
                : PROMPT_WAIT_INTERVAL_MILLIS);
    call.waitsToSend = adapterWait <= 0 && candidate.sendWaitMillis() > 0;
    call.holdingRevision = fleet.holdingRevision(candidate.runner());
    RunnerEntry before = call.waitingAt;
    if (before != null && before.id().equals(candidate.runner().id())) {
      return;
    }
    stopWaiting(call);
    call.waitingAt = candidate.runner();
    waitingDemands.recordBegin();
    call.waitingSinceMillis = nowMillis;
    call.waitingTokens = candidate.unreadTokens();
    fleet.fleetLoad().add(candidate.runner().id(), 1, 0, call.waitingTokens, call.adapter());
    log.info(
        "request-waits",
        "request",
        call.id(),
        "runner",
        candidate.runner().id(),
        "adapter",
        call.adapter(),
        "wait_ms",
        candidate.adapterWaitMillis(),
        "present",
        candidate.heldOrLoading());
    inFlightListener.run();
  }

  /** Ends the wait of a request, if it waits. */
  void stopWaiting(Call call) {
    RunnerEntry before = call.waitingAt;
    if (before != null) {
      fleet.fleetLoad().add(before.id(), -1, 0, -call.waitingTokens, call.adapter());
      call.waitingAt = null;
      call.waitsToSend = false;
      runnerStates.withdraw(call);
      waitingDemands.recordEnd();
    }
  }
}
