package org.sequoiahub.core.runner;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.runner.Slot.State;
import org.sequoiahub.core.verdict.Verdict.NotRun;

/**
 * Decides which requests one runner starts and which adapters it loads and evicts.
 *
 * <p>Events are recorded by the other methods; {@link #decide} returns the resulting actions. A
 * running request pins its adapter from before its first byte is sent to the engine until the
 * engine sends the end marker, confirms a cancellation, or a report that was certainly sampled
 * after the request's state became uncertain does not contain it. Only unpinned adapters are
 * evicted, and only under authority. An adapter that a former owner may have used is evicted only
 * after a report sampled in this term of sole authority has shown it idle.
 *
 * <p>Not thread-safe: must be used by a single duty.
 */
public final class RunnerController {

  /** A term that is never held, for adapters that requests of other owners may be running on. */
  private static final long NO_TERM = 0;

  /** Weight of the newest value in the averages of service and load times. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Assumed service time of a request before any was observed (ms). */
  private static final long INITIAL_SERVICE_MILLIS = 1_000;

  /** Assumed load time of an adapter before any was observed (ms). */
  private static final long INITIAL_LOAD_MILLIS = 1_000;

  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  private final int slotCount;
  private final int batch;
  private final PolicySettings policy;
  private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
  private final Map<String, RunningRequest> running = new LinkedHashMap<>();

  /**
   * Until when an adapter whose eviction has an unknown result gets no new slot (ms): the eviction
   * order may still arrive before. This is not the quarantine of requests.
   */
  private final Map<AdapterVersion, Long> quarantinedUntilMillis = new HashMap<>();

  private final Map<AdapterVersion, Long> retryLoadFromMillis = new HashMap<>();
  private final RequestQueue queue;
  private final Popularity popularity = new Popularity();
  private final List<RunnerAction> actions = new ArrayList<>();
  private @Nullable PendingLoad pendingLoad;
  private long lastSampleMillis = Long.MIN_VALUE;
  private double serviceMillis = INITIAL_SERVICE_MILLIS;
  private double loadMillis = INITIAL_LOAD_MILLIS;

  /**
   * Creates the controller of a runner whose state is unknown.
   *
   * @param slotCount the maximum number of adapter versions that the engine holds at once
   * @param batch the maximum number of requests that the engine runs at once
   * @param policy the weights and limits of the decisions
   */
  public RunnerController(int slotCount, int batch, PolicySettings policy) {
    checkArgument(slotCount > 0, "slotCount must be above 0, was %s", slotCount);
    checkArgument(batch > 0, "batch must be above 0, was %s", batch);
    this.slotCount = slotCount;
    this.batch = batch;
    this.policy = requireNonNull(policy, "policy must not be null");
    this.queue = new RequestQueue(policy.briefAgeMillis());
  }

  /** Queues a request, or rejects it immediately. */
  public Admission offer(RunnerRequest request, long nowMillis) {
    if (queue.contains(request.id()) || running.containsKey(request.id())) {
      return rejected(
          "duplicate-request", "a request with this id is already queued or running", 0);
    }
    if (request.deadlineMillis() <= nowMillis) {
      return rejected("deadline-passed", "the deadline passed before the request was queued", 0);
    }
    long wait = expectedWaitMillis(request.adapter(), nowMillis);
    if (queue.size() >= policy.queueLimit()) {
      return rejected("queue-full", "the runner's queue is full; retry later", wait);
    }
    if (nowMillis + wait >= request.deadlineMillis()) {
      return rejected("too-late", "the expected wait exceeds the deadline; retry later", wait);
    }
    popularity.recordRequest(request.adapter(), nowMillis);
    queue.add(request, nowMillis);
    return new Admission.Admitted(wait, isReady(request.adapter()));
  }

  /**
   * Cancels a request.
   *
   * @return true if it was still queued, so that it has not run and never will
   */
  public boolean cancel(String requestId) {
    if (queue.remove(requestId).isPresent()) {
      return true;
    }
    RunningRequest found = running.get(requestId);
    if (found != null && !found.cancelRequested) {
      found.cancelRequested = true;
      actions.add(new RunnerAction.CancelRunning(found.request));
    }
    return false;
  }

  /** Records that the engine sent a request's end marker or confirmed its cancellation. */
  public void requestEnded(String requestId, long nowMillis) {
    RunningRequest ended = running.remove(requestId);
    if (ended != null) {
      serviceMillis += NEWEST_WEIGHT * (nowMillis - ended.sinceMillis - serviceMillis);
      markUsed(ended.request.adapter(), nowMillis);
    }
  }

  /** Records that it is unknown whether a request still runs. It keeps pinning its adapter. */
  public void requestUncertain(String requestId, long nowMillis) {
    RunningRequest found = running.get(requestId);
    if (found != null) {
      found.uncertainSinceMillis = nowMillis;
    }
  }

  /** Records that a running request is being resumed, so that its state is known again. */
  public void requestResumed(String requestId) {
    RunningRequest found = running.get(requestId);
    if (found != null) {
      found.uncertainSinceMillis = Long.MAX_VALUE;
    }
  }

  /**
   * Adopts a request that a former owner started and that this owner resumes, so that it pins its
   * adapter from now on.
   */
  public void adoptRequest(RunnerRequest request, long nowMillis) {
    RunningRequest known = running.get(request.id());
    if (known == null) {
      running.put(request.id(), new RunningRequest(request, nowMillis));
    } else {
      known.uncertainSinceMillis = Long.MAX_VALUE;
    }
  }

  /** Records that a load turn was granted. */
  public void loadTurnGranted(AdapterVersion adapter) {
    if (pendingLoad != null && pendingLoad.adapter.equals(adapter) && !pendingLoad.turnGranted) {
      pendingLoad.turnGranted = true;
    } else if (pendingLoad == null || !pendingLoad.adapter.equals(adapter)) {
      actions.add(new RunnerAction.ReleaseLoadTurn(adapter));
    }
  }

  /** Records the result of a load order. */
  public void loadAnswered(AdapterVersion adapter, OrderResult result, long nowMillis) {
    Slot slot = slots.get(adapter);
    if (slot == null || !slot.is(State.LOADING)) {
      return;
    }
    switch (result) {
      case DONE -> {
        loadMillis += NEWEST_WEIGHT * (nowMillis - slot.changedMillis() - loadMillis);
        slot.transitionTo(State.READY, nowMillis);
      }
      case FAILED -> {
        // Only the next load of this adapter is delayed. The engine may have rejected the order
        // because it holds the adapter already, loaded by a former owner. The next report then
        // shows the adapter, and it must become usable.
        slots.remove(adapter);
        retryLoadFromMillis.put(adapter, nowMillis + (long) loadMillis);
      }
      case UNKNOWN -> slot.transitionTo(State.LOAD_UNKNOWN, nowMillis);
      default -> throw new IllegalArgumentException("unsupported order result: " + result);
    }
    endPendingLoad(adapter);
  }

  /**
   * Records the result of an eviction order.
   *
   * @param result the result; if it is {@code UNKNOWN}, the order may still arrive at the engine,
   *     and the adapter is neither used nor loaded again until the order no longer can
   */
  public void unloadAnswered(AdapterVersion adapter, OrderResult result, long nowMillis) {
    Slot slot = slots.get(adapter);
    if (slot == null || !slot.is(State.UNLOADING)) {
      return;
    }
    switch (result) {
      case DONE -> slots.remove(adapter);
      case FAILED -> {
        // An immediate retry would be rejected again and loop at the speed of the network.
        slot.transitionTo(State.READY, nowMillis);
        slot.deferEvictionUntil(nowMillis + (long) loadMillis);
      }
      case UNKNOWN -> {
        // The order may still be in transit. If the adapter were used or loaded again now, the late
        // order would evict it under the new request, whose stream would end with an unknown-model
        // error. The adapter is therefore not used until the order can no longer arrive.
        slot.transitionTo(State.UNLOAD_UNKNOWN, nowMillis);
        quarantinedUntilMillis.put(adapter, nowMillis + policy.orderLifetimeMillis());
      }
      default -> throw new IllegalArgumentException("unsupported order result: " + result);
    }
  }

  /** Applies an engine's report; one that was sampled before the last one is ignored. */
  public void applyReport(EngineReport report, Rights rights, long nowMillis) {
    long sampled = report.sampledNotBeforeMillis();
    if (sampled <= lastSampleMillis) {
      return;
    }
    lastSampleMillis = sampled;
    endUnreportedRequests(report);
    reconcileSlots(report, nowMillis);
    adoptResidents(report, nowMillis);
    if (rights.held()) {
      markExclusiveSlots(report, rights, nowMillis);
    }
  }

  /** Rejects every queued request as not run, for example because the runner has a new owner. */
  public void rejectQueued(String reason, String message, long retryAfterMillis) {
    for (RunnerRequest request : queue.removeAll()) {
      NotRun verdict = new NotRun(reason, message, retryAfterMillis);
      actions.add(new RunnerAction.Reject(request, verdict));
    }
  }

  /** Returns the actions to take now and removes them from this controller. */
  public List<RunnerAction> decide(Rights rights, long nowMillis) {
    rejectExpired(nowMillis);
    quarantinedUntilMillis.values().removeIf(until -> until <= nowMillis);
    retryLoadFromMillis.values().removeIf(from -> from <= nowMillis);
    if (rights.held()) {
      startRequests(nowMillis);
      continuePendingLoad(rights, nowMillis);
      planLoad(rights, nowMillis);
    }
    List<RunnerAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }

  /** Returns the estimated wait of a request for {@code adapter} that arrives now (ms). */
  public long expectedWaitMillis(AdapterVersion adapter, long nowMillis) {
    int free = batch - running.size();
    double perStart = serviceMillis / batch;
    double queueWait = queue.size() < free ? 0 : (queue.size() - Math.max(0, free) + 1) * perStart;
    if (isReady(adapter)) {
      return Math.round(queueWait);
    }
    return Math.round(Math.max(queueWait, loadWaitMillis(adapter, nowMillis)));
  }

  /** Returns whether {@code adapter} is loaded and may be used. */
  public boolean isReady(AdapterVersion adapter) {
    Slot slot = slots.get(adapter);
    return slot != null && slot.is(State.READY);
  }

  /** Returns the adapter versions that may be used now. */
  public Set<AdapterVersion> ready() {
    Set<AdapterVersion> ready = new HashSet<>();
    slots.values().stream().filter(s -> s.is(State.READY)).forEach(s -> ready.add(s.adapter()));
    return ready;
  }

  /** Returns how many requests are queued. */
  public int queued() {
    return queue.size();
  }

  /** Returns how many requests run or may still run. */
  public int running() {
    return running.size();
  }

  /** Returns whether the states of all slots and running requests are known. */
  public boolean isSettled() {
    return slots.values().stream()
            .noneMatch(s -> s.is(State.LOAD_UNKNOWN) || s.is(State.UNLOAD_UNKNOWN))
        && running.values().stream().allMatch(r -> r.uncertainSinceMillis == Long.MAX_VALUE);
  }

  /** Returns each slot's adapter and state, for operators. */
  public Map<String, String> slotStates() {
    Map<String, String> states = new LinkedHashMap<>();
    slots.values().forEach(s -> states.put(s.adapter().exactName(), s.state().name()));
    return states;
  }

  private Admission rejected(String reason, String message, long waitMillis) {
    long retryAfter = waitMillis == 0 ? 0 : Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis);
    return new Admission.Rejected(new NotRun(reason, message, retryAfter));
  }

  private double loadWaitMillis(AdapterVersion adapter, long nowMillis) {
    Slot slot = slots.get(adapter);
    if (slot != null && slot.is(State.LOADING)) {
      return Math.max(0, loadMillis - (nowMillis - slot.changedMillis()));
    }
    int loadsAhead = 0;
    for (AdapterVersion waiting : queue.adapters()) {
      if (!waiting.equals(adapter) && !slots.containsKey(waiting)) {
        loadsAhead++;
      }
    }
    return (loadsAhead + 1) * loadMillis;
  }

  private void rejectExpired(long nowMillis) {
    for (RunnerRequest request : queue.removeExpired(nowMillis)) {
      long retryAfter =
          Math.max(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis(request.adapter(), nowMillis));
      actions.add(
          new RunnerAction.Reject(
              request,
              new NotRun(
                  "deadline-passed", "the deadline passed while the request waited", retryAfter)));
    }
  }

  private void startRequests(long nowMillis) {
    while (running.size() < batch) {
      Optional<RunnerRequest> next = queue.next(this::isReady, nowMillis);
      if (next.isEmpty()) {
        return;
      }
      RunnerRequest request = next.get();
      queue.remove(request.id());
      running.put(request.id(), new RunningRequest(request, nowMillis));
      markUsed(request.adapter(), nowMillis);
      actions.add(new RunnerAction.Start(request));
    }
  }

  private void continuePendingLoad(Rights rights, long nowMillis) {
    if (pendingLoad == null || pendingLoad.loadOrdered) {
      return;
    }
    AdapterVersion adapter = pendingLoad.adapter;
    if (queue.waiting(adapter) == 0 || slots.containsKey(adapter)) {
      endPendingLoad(adapter);
      return;
    }
    if (!pendingLoad.turnGranted) {
      return;
    }
    if (slots.size() < slotCount) {
      pendingLoad.loadOrdered = true;
      // A former owner that has not learned of this term yet may start requests on this adapter.
      boolean exclusive = nowMillis >= exclusiveSinceMillis(rights);
      long exclusiveTerm = exclusive ? rights.term() : NO_TERM;
      slots.put(adapter, new Slot(adapter, State.LOADING, exclusiveTerm, nowMillis));
      actions.add(new RunnerAction.Load(adapter));
    } else if (slots.values().stream().noneMatch(s -> s.is(State.UNLOADING))) {
      evictionCandidate(rights, nowMillis)
          .ifPresentOrElse(slot -> evict(slot, nowMillis), () -> endPendingLoad(adapter));
    }
  }

  private void planLoad(Rights rights, long nowMillis) {
    if (pendingLoad != null) {
      return;
    }
    Optional<AdapterVersion> wanted = nextAdapterToLoad(nowMillis);
    if (wanted.isEmpty()) {
      stopDraining(nowMillis);
      return;
    }
    AdapterVersion adapter = wanted.get();
    if (slots.size() < slotCount || evictionCandidate(rights, nowMillis).isPresent()) {
      pendingLoad = new PendingLoad(adapter);
      actions.add(
          new RunnerAction.RequestLoadTurn(
              adapter, queue.waiting(adapter), queue.hasUrgent(adapter, nowMillis)));
    } else if (queue.oldestWait(adapter, nowMillis) >= policy.drainAfterMillis()) {
      drainOne(rights, adapter, nowMillis);
    }
  }

  /**
   * Returns the adapter to load next: one with urgent requests first, then the one with the most
   * and oldest requests.
   */
  private Optional<AdapterVersion> nextAdapterToLoad(long nowMillis) {
    return queue.adapters().stream()
        .filter(a -> !slots.containsKey(a) && !quarantinedUntilMillis.containsKey(a))
        .filter(a -> !retryLoadFromMillis.containsKey(a))
        .max(
            Comparator.comparing((AdapterVersion a) -> queue.hasUrgent(a, nowMillis))
                .thenComparingLong(a -> queue.waiting(a) * (1 + queue.oldestWait(a, nowMillis))));
  }

  private Optional<Slot> evictionCandidate(Rights rights, long nowMillis) {
    return slots.values().stream()
        .filter(slot -> isEvictable(slot, rights) && slot.isEvictionAllowed(nowMillis))
        .filter(slot -> slot.is(State.DRAINING) || queue.waiting(slot.adapter()) == 0)
        .min(leastValuableFirst(nowMillis));
  }

  private boolean isEvictable(Slot slot, Rights rights) {
    boolean usable = slot.is(State.READY) || slot.is(State.DRAINING);
    return usable
        && rights.held()
        && slot.isExclusiveIn(rights.term())
        && !isPinned(slot.adapter());
  }

  private boolean isPinned(AdapterVersion adapter) {
    return running.values().stream().anyMatch(r -> r.request.adapter().equals(adapter));
  }

  private Comparator<Slot> leastValuableFirst(long nowMillis) {
    Comparator<Slot> drainingFirst = Comparator.comparing(slot -> !slot.is(State.DRAINING));
    if (!policy.evictByPopularity()) {
      return drainingFirst.thenComparingLong(Slot::lastUsedMillis);
    }
    return drainingFirst
        .thenComparingDouble(slot -> popularity.value(slot.adapter(), nowMillis))
        .thenComparingLong(Slot::lastUsedMillis);
  }

  /**
   * Drains a busy slot for an adapter that has waited too long, which could otherwise starve behind
   * slots that always have a running request.
   */
  private void drainOne(Rights rights, AdapterVersion wanted, long nowMillis) {
    if (slots.values().stream().anyMatch(s -> s.is(State.DRAINING) || s.is(State.UNLOADING))) {
      return;
    }
    slots.values().stream()
        .filter(slot -> slot.is(State.READY) && slot.isExclusiveIn(rights.term()))
        .filter(slot -> !slot.adapter().equals(wanted))
        .min(leastValuableFirst(nowMillis))
        .ifPresent(slot -> slot.transitionTo(State.DRAINING, nowMillis));
  }

  /**
   * Makes draining slots usable again once no adapter waits for them. Otherwise requests queued for
   * a draining adapter would never start.
   */
  private void stopDraining(long nowMillis) {
    slots.values().stream()
        .filter(slot -> slot.is(State.DRAINING))
        .forEach(slot -> slot.transitionTo(State.READY, nowMillis));
  }

  private void evict(Slot slot, long nowMillis) {
    slot.transitionTo(State.UNLOADING, nowMillis);
    actions.add(new RunnerAction.Unload(slot.adapter()));
  }

  private void endPendingLoad(AdapterVersion adapter) {
    if (pendingLoad != null && pendingLoad.adapter.equals(adapter)) {
      pendingLoad = null;
      actions.add(new RunnerAction.ReleaseLoadTurn(adapter));
    }
  }

  private void endUnreportedRequests(EngineReport report) {
    // A request whose start is uncertain may still reach the engine within the order lifetime.
    running
        .values()
        .removeIf(
            r ->
                r.uncertainSinceMillis != Long.MAX_VALUE
                    && report.sampledNotBeforeMillis()
                        >= r.uncertainSinceMillis + policy.orderLifetimeMillis()
                    && !report.active().containsKey(r.request.id()));
  }

  private void reconcileSlots(EngineReport report, long nowMillis) {
    List<Slot> gone = new ArrayList<>();
    for (Slot slot : slots.values()) {
      if (report.sampledNotBeforeMillis() <= slot.changedMillis()) {
        continue;
      }
      boolean resident = report.resident().contains(slot.adapter());
      boolean loading = report.loading().contains(slot.adapter());
      switch (slot.state()) {
        case READY, DRAINING -> {
          if (!resident) {
            gone.add(slot);
          }
        }
        case UNLOAD_UNKNOWN -> {
          if (!resident) {
            gone.add(slot);
          } else if (report.sampledNotBeforeMillis()
              >= slot.changedMillis() + policy.orderLifetimeMillis()) {
            slot.transitionTo(State.READY, nowMillis);
          }
        }
        case LOAD_UNKNOWN -> {
          if (resident) {
            slot.transitionTo(State.READY, nowMillis);
          } else if (!loading) {
            gone.add(slot);
          }
        }
        default -> {
          // LOADING and UNLOADING end with the result of their order.
        }
      }
    }
    gone.forEach(slot -> slots.remove(slot.adapter()));
  }

  private void adoptResidents(EngineReport report, long nowMillis) {
    for (AdapterVersion adapter : report.resident()) {
      boolean room = slots.size() < slotCount;
      if (room && !slots.containsKey(adapter) && !quarantinedUntilMillis.containsKey(adapter)) {
        slots.put(adapter, new Slot(adapter, State.READY, NO_TERM, nowMillis));
      }
    }
  }

  private void markExclusiveSlots(EngineReport report, Rights rights, long nowMillis) {
    long since = exclusiveSinceMillis(rights);
    boolean allOthersEnded = nowMillis >= since + policy.requestLimitMillis();
    if (report.sampledNotBeforeMillis() < since && !allOthersEnded) {
      return;
    }
    Set<AdapterVersion> foreign = new HashSet<>();
    report
        .active()
        .forEach(
            (id, adapter) -> {
              if (!running.containsKey(id)) {
                foreign.add(adapter);
              }
            });
    for (Slot slot : slots.values()) {
      if (!foreign.contains(slot.adapter())) {
        slot.markExclusiveIn(rights.term());
      }
    }
  }

  /**
   * Returns since when nothing sent by another dispatcher can reach the engine (ms). What a former
   * owner sent just before its authority ended may be in transit for the order lifetime.
   */
  private long exclusiveSinceMillis(Rights rights) {
    return rights.exclusiveSinceMillis() + policy.orderLifetimeMillis();
  }

  private void markUsed(AdapterVersion adapter, long nowMillis) {
    Slot slot = slots.get(adapter);
    if (slot != null) {
      slot.markUsed(nowMillis);
    }
  }

  private static final class RunningRequest {
    private final RunnerRequest request;
    private final long sinceMillis;
    private long uncertainSinceMillis = Long.MAX_VALUE;
    private boolean cancelRequested;

    RunningRequest(RunnerRequest request, long sinceMillis) {
      this.request = request;
      this.sinceMillis = sinceMillis;
    }
  }

  private static final class PendingLoad {
    private final AdapterVersion adapter;
    private boolean turnGranted;
    private boolean loadOrdered;

    PendingLoad(AdapterVersion adapter) {
      this.adapter = adapter;
    }
  }
}
