package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.dispatch.CandidateShortlist;
import org.sequoiahub.core.dispatch.StreamLimits;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.upstream.RunnerEntry;

/** Selects the runners among which a request may choose; used by the decision thread only. */
final class CandidateSelector {

  /**
   * How long a request waits at a runner before it may move to one that does not have its adapter
   * (ms): the time of one and a half loads. A request that moved sooner would oscillate between
   * runners and be the last in each queue.
   */
  private static final long MIN_WAIT_BEFORE_MOVE_MILLIS = 400;

  /**
   * Shortest interval between two evaluations of all runners for a waiting request (ms). In between
   * only the runner where it waits and those that have its adapter are evaluated: hosts exchange
   * their state no more often, and the cost of an evaluation grows with the number of runners.
   */
  private static final long FULL_SCAN_INTERVAL_MILLIS = 100;

  private final FleetView fleet;
  private final CandidateShortlist shortlist;

  CandidateSelector(FleetView fleet, CandidateShortlist shortlist) {
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.shortlist = requireNonNull(shortlist, "shortlist must not be null");
  }

  /**
   * Returns the runners that a request may be sent to, or at which it may wait. Runners that leave
   * are among them only if no other one can serve the request in time.
   *
   * @param generation the generation that is requested; null for a plain request
   */
  List<Candidate> candidates(Call call, @Nullable Generation generation, long nowMillis) {
    List<RunnerEntry> usable = fleet.usableRunners(call.service, nowMillis);
    List<RunnerEntry> eligible = eligibleRunners(call, generation, usable, nowMillis);
    List<Candidate> candidates = evaluate(eligible, call, generation, nowMillis);
    if (eligible.size() < usable.size() && !mayAnyGetInTime(candidates, call, nowMillis)) {
      candidates = evaluate(usable, call, generation, nowMillis);
    }
    if (!mayAnyGetInTime(candidates, call, nowMillis)) {
      List<RunnerEntry> leaving = fleet.lastResortRunners(call.service, nowMillis);
      for (Candidate candidate : evaluate(leaving, call, generation, nowMillis)) {
        // No orders are sent to a runner that leaves, so it must have the adapter.
        if (candidate.sendDecision() instanceof SendDecision.LastResort
            && candidate.heldOrLoading()
            && candidate.adapterWaitMillis() <= 0) {
          candidates.add(candidate);
        }
      }
    }
    return candidates;
  }

  /** Returns whether a request may still be sent to a usable runner other than the given one. */
  boolean hasOtherRunner(Call call, RunnerEntry runner, long nowMillis) {
    return fleet.usableRunners(call.service, nowMillis).stream()
        .anyMatch(
            other ->
                !other.id().equals(runner.id())
                    && call.admits(other.version())
                    && !call.excludedRunners.contains(other.id()));
  }

  /** Returns whether a request may be sent to any of the candidates before its target latency. */
  private static boolean mayAnyGetInTime(List<Candidate> candidates, Call call, long nowMillis) {
    long timeToTarget = Math.max(0, call.targetMillis() - nowMillis);
    return candidates.stream().anyMatch(candidate -> candidate.sendWaitMillis() <= timeToTarget);
  }

  private List<Candidate> evaluate(
      List<RunnerEntry> runners, Call call, @Nullable Generation generation, long nowMillis) {
    List<Candidate> candidates = new ArrayList<>();
    int adapterUses = fleet.adapterUses(generation, nowMillis);
    for (RunnerEntry runner : runners) {
      boolean alreadyRunning =
          call.activeAttempts.stream().anyMatch(r -> r.runner.id().equals(runner.id()));
      if (call.admits(runner.version())
          && !call.excludedRunners.contains(runner.id())
          && !alreadyRunning) {
        boolean counted = call.waitingAt != null && call.waitingAt.id().equals(runner.id());
        candidates.add(
            fleet.candidate(
                runner,
                generation,
                counted ? call.waitingTokens : -1,
                call,
                adapterUses,
                nowMillis));
      }
    }
    return candidates;
  }

  /**
   * Returns the runners among which a request chooses first.
   *
   * <p>These are all usable runners of its service, or a shortlist if there are many. A waiting
   * request that has not waited long, or for which all runners were evaluated recently, chooses
   * only among the one where it waits and those that have its adapter: the queues that hosts report
   * change from one datagram to the next, and each move begins another wait at the end of a queue.
   */
  private List<RunnerEntry> eligibleRunners(
      Call call, @Nullable Generation generation, List<RunnerEntry> usable, long nowMillis) {
    RunnerEntry before = call.waitingAt;
    if (generation == null) {
      return usable;
    }
    if (before == null) {
      return shortlist.select(
          generation.target(),
          usable,
          runner -> fleet.isAdapterKnownAt(runner, generation),
          runner -> fleet.load(runner, nowMillis));
    }
    boolean mustStay =
        !call.waitsToSend && nowMillis - call.waitingSinceMillis < MIN_WAIT_BEFORE_MOVE_MILLIS;
    if (!mustStay && nowMillis - call.lastFullScanMillis >= FULL_SCAN_INTERVAL_MILLIS) {
      call.lastFullScanMillis = nowMillis;
      return usable;
    }
    boolean stillUsable = false;
    List<RunnerEntry> preferred = new ArrayList<>();
    for (RunnerEntry runner : usable) {
      boolean here = runner.id().equals(before.id());
      stillUsable |= here;
      if (here || fleet.isAdapterKnownAt(runner, generation)) {
        preferred.add(runner);
      }
    }
    return stillUsable ? preferred : usable;
  }

  /** Returns what a request requires of its stream. */
  StreamLimits streamLimits(Call call, long nowMillis) {
    int tokensPerEvent = fleet.engineSpec(call.service).map(EngineSpec::tokensPerEvent).orElse(1);
    long inTimeMillis = call.arrivedMillis + call.route.targetLatencyMillis() - nowMillis;
    return new StreamLimits(fleet.pauseMillis(call.service), tokensPerEvent, inTimeMillis);
  }
}
