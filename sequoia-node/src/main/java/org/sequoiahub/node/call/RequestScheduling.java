package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.scheduling.LoadShedding;
import org.sequoiahub.core.scheduling.RequestOrder;
import org.sequoiahub.core.scheduling.WaitPrediction;
import org.sequoiahub.core.scheduling.WaitingRequest;
import org.sequoiahub.core.scheduling.WorkspaceUse;
import org.sequoiahub.core.workspace.Allowance;
import org.sequoiahub.core.workspace.Workspace;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Orders the waiting requests of services whose runners report their load, and rejects those that
 * cannot start in time; used by the decision thread only.
 *
 * <p>For other services, requests are placed in the order of their arrival, and a request is
 * rejected if the runner chosen for it cannot serve it in time.
 */
final class RequestScheduling {

  private final FleetView fleet;
  private final ReportedLoad reportedLoad;
  private final WorkspaceUse workspaceUse;
  private final MetricRegistry metrics;
  private final EventLog log;
  private final Map<String, LoadShedding> sheddingByService = new HashMap<>();
  private final Map<String, Rejections> rejectionsByService = new TreeMap<>();

  /** The waiting requests by the id of the runner where they wait. */
  private final Map<String, List<Call>> waiting = new HashMap<>();

  /** What was rejected for lack of capacity; for the status page. */
  private static final class Rejections {
    long count;
    long lastMillis;
    long lastRetryAfterMillis;
    String lastReason = "";
  }

  /**
   * A rejection for lack of capacity.
   *
   * @param retryAfterMillis when the caller may retry (ms from now)
   */
  record Rejection(String reason, long retryAfterMillis) {}

  RequestScheduling(
      FleetView fleet,
      ReportedLoad reportedLoad,
      WorkspaceUse.FleetRates fleetRates,
      MetricRegistry metrics,
      EventLog log) {
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.reportedLoad = requireNonNull(reportedLoad, "reportedLoad must not be null");
    this.workspaceUse = new WorkspaceUse(fleetRates);
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Returns whether the requests of a service are ordered and shed here. */
  boolean isInForce(Call call) {
    return call.generation != null && reportedLoad.isReported(call.service);
  }

  /**
   * Returns requests in the order in which they are to be placed. Requests of services that are not
   * ordered here keep their places.
   */
  List<Call> inOrder(Collection<Call> calls, long nowMillis) {
    List<Call> ordered = new ArrayList<>(calls);
    List<Integer> places = new ArrayList<>();
    List<Call> sorted = new ArrayList<>();
    for (int place = 0; place < ordered.size(); place++) {
      Call call = ordered.get(place);
      if (call.waitingAt != null && isInForce(call)) {
        places.add(place);
        sorted.add(call);
      }
    }
    if (sorted.size() > 1) {
      // The place of each is computed once, as it would otherwise be at each comparison.
      Map<Call, WaitingRequest> requests = new HashMap<>();
      sorted.forEach(call -> requests.put(call, waitingRequest(call, nowMillis)));
      sorted.sort(
          (a, b) ->
              RequestOrder.compare(
                  requireNonNull(requests.get(a)), requireNonNull(requests.get(b)), nowMillis));
      for (int i = 0; i < sorted.size(); i++) {
        ordered.set(places.get(i), sorted.get(i));
      }
    }
    return ordered;
  }

  /**
   * Returns whether a request must leave a runner to another one that precedes it and waits there
   * only for the prompts ahead; that one is then placed at the next tick.
   */
  boolean mustYield(Call call, Candidate candidate, long nowMillis) {
    if (!isInForce(call)) {
      return false;
    }
    WaitingRequest request = null;
    for (Call other : waiting.getOrDefault(candidate.runner().id(), List.of())) {
      if (other != call && other.waitsForPrompts) {
        request = request == null ? waitingRequest(call, nowMillis) : request;
        if (RequestOrder.compare(waitingRequest(other, nowMillis), request, nowMillis) < 0) {
          other.nextPlacementMillis = Math.min(other.nextPlacementMillis, nowMillis);
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Returns why a request is rejected for lack of capacity; empty if it may be sent or wait.
   *
   * @param expectedMillis the time to its first event at the chosen runner (ms)
   */
  Optional<Rejection> reject(
      Call call,
      Generation generation,
      List<Candidate> candidates,
      double expectedMillis,
      long nowMillis) {
    if (!isInForce(call)) {
      // A caller that retries sooner would be rejected again.
      return nowMillis + expectedMillis > call.nextEventDeadlineMillis()
          ? Optional.of(
              new Rejection("the next event would miss its deadline", (long) expectedMillis))
          : Optional.empty();
    }
    final boolean isNew = call.waitingAt == null && call.sends == 0;
    LoadShedding shedding =
        sheddingByService.computeIfAbsent(call.service, service -> new LoadShedding());
    if (isNew) {
      call.returned = shedding.hasReturned(call.fingerprint().checksum(), nowMillis);
      workspaceUse.recordOffered(call.workspaceName(), weight(call), tokens(generation), nowMillis);
    }
    WaitingRequest request = waitingRequest(call, nowMillis);
    WaitPrediction.Outlook outlook =
        WaitPrediction.DEFAULT.predict(
            candidates, candidate -> tokensBehind(call, request, candidate, nowMillis));
    LoadShedding.Decision decision =
        shedding.decide(
            request,
            isNew,
            call.fingerprint().checksum(),
            outlook,
            tokensPerMilli(call, nowMillis),
            nowMillis);
    if (isNew && call.returned) {
      metrics.counter("scheduling.returned").inc();
    }
    if (decision instanceof LoadShedding.Rejected rejected) {
      recordRejection(call, rejected, outlook, nowMillis);
      return Optional.of(new Rejection(rejected.reason(), rejected.retryAfterMillis()));
    }
    return Optional.empty();
  }

  /** Records that a request begins to wait at a runner. */
  void recordWaiting(Call call) {
    waiting.computeIfAbsent(call.waitingAtId(), id -> new ArrayList<>()).add(call);
  }

  /** Records that a request no longer waits at a runner. */
  void recordWaitEnded(Call call) {
    List<Call> there = waiting.get(call.waitingAtId());
    if (there != null && there.remove(call) && there.isEmpty()) {
      waiting.remove(call.waitingAtId());
    }
  }

  /** Records that a request is sent to a runner. */
  void recordSent(Call call, long nowMillis) {
    Generation generation = call.generation;
    LoadShedding shedding = sheddingByService.get(call.service);
    if (generation != null && shedding != null && isInForce(call) && call.sends == 0) {
      shedding.started(call.fingerprint().checksum());
      workspaceUse.recordServed(call.workspaceName(), tokens(generation), nowMillis);
    }
  }

  /** Returns what was rejected by service; empty where ordering and shedding are not in force. */
  List<SchedulingStatus> status(long nowMillis) {
    return rejectionsByService.entrySet().stream()
        .map(
            entry ->
                new SchedulingStatus(
                    entry.getKey(),
                    entry.getValue().count,
                    nowMillis - entry.getValue().lastMillis,
                    entry.getValue().lastReason,
                    entry.getValue().lastRetryAfterMillis))
        .toList();
  }

  private void recordRejection(
      Call call, LoadShedding.Rejected rejected, WaitPrediction.Outlook outlook, long nowMillis) {
    metrics.counter("scheduling.rejected").inc();
    metrics.histogram("scheduling.rejected_after_ms").update(nowMillis - call.arrivedMillis);
    Rejections rejections =
        rejectionsByService.computeIfAbsent(call.service, service -> new Rejections());
    rejections.count++;
    rejections.lastMillis = nowMillis;
    rejections.lastReason = rejected.reason();
    rejections.lastRetryAfterMillis = rejected.retryAfterMillis();
    log.info(
        "request-shed",
        "request",
        call.id(),
        "service",
        call.service,
        "why",
        rejected.reason(),
        "start_in_ms",
        Math.round(outlook.startMillis()),
        "first_event_in_ms",
        Math.round(rejected.firstEventMillis()),
        "left_ms",
        call.nextEventDeadlineMillis() - nowMillis,
        "retry_ms",
        rejected.retryAfterMillis(),
        "priority",
        call.priority(),
        "workspace",
        call.workspaceName(),
        "returned",
        call.returned);
  }

  /** Returns the tokens of this host's requests at a runner that a request precedes. */
  private long tokensBehind(
      Call call, WaitingRequest request, Candidate candidate, long nowMillis) {
    long tokens = 0;
    for (Call other : waiting.getOrDefault(candidate.runner().id(), List.of())) {
      if (other != call
          && RequestOrder.compare(request, waitingRequest(other, nowMillis), nowMillis) < 0) {
        tokens += other.waitingTokens;
      }
    }
    return tokens;
  }

  /** Returns this host's part of the speed at which the runners of a service read prompts. */
  private double tokensPerMilli(Call call, long nowMillis) {
    int runners = Math.max(1, fleet.usableRunners(call.service, nowMillis).size());
    return runners
        * WaitPrediction.DEFAULT.readTokensPerMilli()
        / Math.max(1, fleet.hostCount(nowMillis));
  }

  private WaitingRequest waitingRequest(Call call, long nowMillis) {
    Generation generation = call.generation;
    int tokens = generation == null ? 0 : generation.promptTokens();
    return new WaitingRequest(
        call.priority(),
        call.arrivedMillis,
        call.targetMillis(),
        call.nextEventDeadlineMillis(),
        call.waitingAt == null ? tokens : call.waitingTokens,
        workspaceUse.relativeUse(call.workspaceName(), nowMillis),
        call.returned);
  }

  /** Returns the tokens of a request, counted as in allowances. */
  private static long tokens(Generation generation) {
    return (long) generation.promptTokens() + generation.maxOutputTokens();
  }

  /**
   * Returns the weight of a request's workspace. The configuration has no weights of its own, so an
   * allowance in tokens counts as one; without it, a large customer would get no more than a small
   * one.
   */
  private static double weight(Call call) {
    Workspace workspace = call.permitted.workspace();
    return workspace != null
            && workspace.allowance().isLimited()
            && workspace.allowance().unit() == Allowance.Unit.TOKENS
        ? workspace.allowance().perSecond()
        : 1;
  }
}
