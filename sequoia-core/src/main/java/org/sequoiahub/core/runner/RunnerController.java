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
 * Decides what one runner does: which request starts, which adapter is loaded, which is evicted.
 *
 * <p>Events come in through the methods; {@link #decide} returns what is to be done about them. A
 * running request pins its adapter from before the first byte goes to the engine until the engine's
 * end marker, a confirmed cancel, or a report that was surely sampled after the last doubt and does
 * not show it. Only unpinned adapters are evicted, only under authority, and an adapter that a
 * former owner may have used only after a report sampled in this term of sole authority showed it
 * idle.
 *
 * <p>Not thread-safe: one duty owns it.
 */
public final class RunnerController {

  /** A term that is never held: whose requests may run on the adapter is not known. */
  private static final long UNPROVEN = 0;

  private static final double SMOOTHING = 0.2;
  private static final long FIRST_SERVICE_MILLIS = 1_000;
  private static final long FIRST_LOAD_MILLIS = 1_000;
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  private final int slotCount;
  private final int batch;
  private final PolicySettings policy;
  private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
  private final Map<String, Running> running = new LinkedHashMap<>();
  private final Map<AdapterVersion, Long> quarantinedUntil = new HashMap<>();
  private final Map<AdapterVersion, Long> loadAgainFrom = new HashMap<>();
  private final RequestQueue queue;
  private final Popularity popularity = new Popularity();
  private final List<RunnerAction> actions = new ArrayList<>();
  private @Nullable PendingLoad pending;
  private long lastSampleMillis = Long.MIN_VALUE;
  private double serviceMillis = FIRST_SERVICE_MILLIS;
  private double loadMillis = FIRST_LOAD_MILLIS;

  /**
   * Creates the controller of a runner about which nothing is known yet.
   *
   * @param slotCount how many adapter versions the engine holds at once
   * @param batch how many requests the engine runs at once
   * @param policy the weights and limits
   */
  public RunnerController(int slotCount, int batch, PolicySettings policy) {
    checkArgument(slotCount > 0, "slotCount must be above 0, was %s", slotCount);
    checkArgument(batch > 0, "batch must be above 0, was %s", batch);
    this.slotCount = slotCount;
    this.batch = batch;
    this.policy = requireNonNull(policy, "policy must not be null");
    this.queue = new RequestQueue(policy.briefAgeMillis());
  }

  /** Offers a request; it is queued or refused at once. */
  public Admission offer(RunnerRequest request, long nowMillis) {
    if (queue.contains(request.id()) || running.containsKey(request.id())) {
      return refused("duplicate-request", "a request with this id is already here", 0);
    }
    if (request.deadlineMillis() <= nowMillis) {
      return refused("deadline-passed", "the deadline passed before the request was queued", 0);
    }
    long wait = expectedWaitMillis(request.adapter(), nowMillis);
    if (queue.size() >= policy.queueLimit()) {
      return refused("queue-full", "the runner's queue is full; repeat later", wait);
    }
    if (nowMillis + wait >= request.deadlineMillis()) {
      return refused("too-late", "the queue is longer than the deadline; repeat later", wait);
    }
    popularity.requested(request.adapter(), nowMillis);
    queue.add(request, nowMillis);
    return new Admission.Admitted(wait, isReady(request.adapter()));
  }

  /**
   * Cancels a request.
   *
   * @return true if it was still queued and so has not run and will not
   */
  public boolean cancel(String requestId) {
    if (queue.remove(requestId).isPresent()) {
      return true;
    }
    Running found = running.get(requestId);
    if (found != null && !found.cancelAsked) {
      found.cancelAsked = true;
      actions.add(new RunnerAction.CancelRunning(found.request));
    }
    return false;
  }

  /** Records that the engine's end marker, or its confirmation of a cancel, was seen. */
  public void ended(String requestId, long nowMillis) {
    Running ended = running.remove(requestId);
    if (ended != null) {
      serviceMillis += SMOOTHING * (nowMillis - ended.sinceMillis - serviceMillis);
      usedNow(ended.request.adapter(), nowMillis);
    }
  }

  /** Records that nobody can tell whether the request still runs: its pin stays. */
  public void uncertain(String requestId, long nowMillis) {
    Running doubtful = running.get(requestId);
    if (doubtful != null) {
      doubtful.uncertainSinceMillis = nowMillis;
    }
  }

  /** Records that a running request is being resumed: it is no longer in doubt. */
  public void resumed(String requestId) {
    Running found = running.get(requestId);
    if (found != null) {
      found.uncertainSinceMillis = Long.MAX_VALUE;
    }
  }

  /**
   * Adopts a request that a former owner started and that is resumed here, so that it pins its
   * adapter from now on.
   */
  public void adopted(RunnerRequest request, long nowMillis) {
    Running known = running.get(request.id());
    if (known == null) {
      running.put(request.id(), new Running(request, nowMillis));
    } else {
      known.uncertainSinceMillis = Long.MAX_VALUE;
    }
  }

  /** Records that a load turn was granted. */
  public void turnGranted(AdapterVersion adapter) {
    if (pending != null && pending.adapter.equals(adapter) && !pending.turnGranted) {
      pending.turnGranted = true;
    } else if (pending == null || !pending.adapter.equals(adapter)) {
      actions.add(new RunnerAction.ReturnTurn(adapter));
    }
  }

  /** Records what became of a load order. */
  public void loadAnswered(AdapterVersion adapter, OrderResult result, long nowMillis) {
    Slot slot = slots.get(adapter);
    if (slot == null || !slot.is(State.LOADING)) {
      return;
    }
    switch (result) {
      case DONE -> {
        loadMillis += SMOOTHING * (nowMillis - slot.changedMillis() - loadMillis);
        slot.become(State.READY, nowMillis);
      }
      case FAILED -> {
        // Only the next load waits. The engine may have refused because it holds the adapter,
        // loaded by a former owner; the next report then shows it, and it must be taken into use.
        slots.remove(adapter);
        loadAgainFrom.put(adapter, nowMillis + (long) loadMillis);
      }
      case UNKNOWN -> slot.become(State.LOAD_UNKNOWN, nowMillis);
      default -> throw new IllegalArgumentException("result must be known, was " + result);
    }
    endPending(adapter);
  }

  /** Records what became of an eviction order. */
  public void unloadAnswered(AdapterVersion adapter, OrderResult result, long nowMillis) {
    Slot slot = slots.get(adapter);
    if (slot == null || !slot.is(State.UNLOADING)) {
      return;
    }
    switch (result) {
      case DONE -> slots.remove(adapter);
      case FAILED -> {
        // Tried again at once, a refusal would come back as fast as the network goes, for ever.
        slot.become(State.READY, nowMillis);
        slot.noEvictionBefore(nowMillis + (long) loadMillis);
      }
      case UNKNOWN -> {
        // The order may still be on its way. Were the adapter used or loaded again now, the late
        // order would evict it under the new request; the symptom is a stream that ends with an
        // unknown-model error. Nothing uses it here until the order can no longer arrive.
        slot.become(State.UNLOAD_UNKNOWN, nowMillis);
        quarantinedUntil.put(adapter, nowMillis + policy.orderLifetimeMillis());
      }
      default -> throw new IllegalArgumentException("result must be known, was " + result);
    }
  }

  /** Takes in what the engine said of itself; a report sampled before the last one is dropped. */
  public void reported(EngineReport report, Rights rights, long nowMillis) {
    long sampled = report.sampledNotBeforeMillis();
    if (sampled <= lastSampleMillis) {
      return;
    }
    lastSampleMillis = sampled;
    endRequestsNotShown(report);
    reconcileSlots(report, nowMillis);
    adoptResidents(report, nowMillis);
    if (rights.held()) {
      proveIdle(report, rights, nowMillis);
    }
  }

  /** Refuses every queued request as not run, for example because the runner has a new owner. */
  public void refuseQueued(String reason, String message, long retryAfterMillis) {
    for (RunnerRequest request : queue.removeAll()) {
      NotRun verdict = new NotRun(reason, message, retryAfterMillis);
      actions.add(new RunnerAction.Refuse(request, verdict));
    }
  }

  /** Returns, and forgets, everything that is to be done now. */
  public List<RunnerAction> decide(Rights rights, long nowMillis) {
    refuseExpired(nowMillis);
    quarantinedUntil.values().removeIf(until -> until <= nowMillis);
    loadAgainFrom.values().removeIf(from -> from <= nowMillis);
    if (rights.held()) {
      startRequests(nowMillis);
      continuePendingLoad(rights, nowMillis);
      planLoad(rights, nowMillis);
    }
    List<RunnerAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }

  /** Estimates how long a request for {@code adapter} that arrives now would wait. */
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

  /** Returns how many requests wait. */
  public int queued() {
    return queue.size();
  }

  /** Returns how many requests run or may run. */
  public int running() {
    return running.size();
  }

  /** Returns whether no slot and no running request is in doubt. */
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

  private Admission refused(String reason, String message, long waitMillis) {
    long retryAfter = waitMillis == 0 ? 0 : Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis);
    return new Admission.Refused(new NotRun(reason, message, retryAfter));
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

  private void refuseExpired(long nowMillis) {
    for (RunnerRequest request : queue.removeExpired(nowMillis)) {
      long retryAfter =
          Math.max(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis(request.adapter(), nowMillis));
      actions.add(
          new RunnerAction.Refuse(
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
      running.put(request.id(), new Running(request, nowMillis));
      usedNow(request.adapter(), nowMillis);
      actions.add(new RunnerAction.Start(request));
    }
  }

  private void continuePendingLoad(Rights rights, long nowMillis) {
    if (pending == null || pending.loadOrdered) {
      return;
    }
    AdapterVersion adapter = pending.adapter;
    if (queue.waiting(adapter) == 0 || slots.containsKey(adapter)) {
      endPending(adapter);
      return;
    }
    if (!pending.turnGranted) {
      return;
    }
    if (slots.size() < slotCount) {
      pending.loadOrdered = true;
      // A former owner that does not know of this term yet may start requests on this adapter.
      boolean sole = nowMillis >= nothingArrivesSince(rights);
      long provenTerm = sole ? rights.term() : UNPROVEN;
      slots.put(adapter, new Slot(adapter, State.LOADING, provenTerm, nowMillis));
      actions.add(new RunnerAction.Load(adapter));
    } else if (slots.values().stream().noneMatch(s -> s.is(State.UNLOADING))) {
      victim(rights, nowMillis)
          .ifPresentOrElse(slot -> evict(slot, nowMillis), () -> endPending(adapter));
    }
  }

  private void planLoad(Rights rights, long nowMillis) {
    if (pending != null) {
      return;
    }
    Optional<AdapterVersion> wanted = mostWanted(nowMillis);
    if (wanted.isEmpty()) {
      stopDraining(nowMillis);
      return;
    }
    AdapterVersion adapter = wanted.get();
    if (slots.size() < slotCount || victim(rights, nowMillis).isPresent()) {
      pending = new PendingLoad(adapter);
      actions.add(
          new RunnerAction.AskTurn(
              adapter, queue.waiting(adapter), queue.hasUrgent(adapter, nowMillis)));
    } else if (queue.oldestWait(adapter, nowMillis) >= policy.drainAfterMillis()) {
      drainOne(rights, adapter, nowMillis);
    }
  }

  /** The waiting adapter that gains most by a load: urgent first, then most and oldest requests. */
  private Optional<AdapterVersion> mostWanted(long nowMillis) {
    return queue.adapters().stream()
        .filter(a -> !slots.containsKey(a) && !quarantinedUntil.containsKey(a))
        .filter(a -> !loadAgainFrom.containsKey(a))
        .max(
            Comparator.comparing((AdapterVersion a) -> queue.hasUrgent(a, nowMillis))
                .thenComparingLong(a -> queue.waiting(a) * (1 + queue.oldestWait(a, nowMillis))));
  }

  private Optional<Slot> victim(Rights rights, long nowMillis) {
    return slots.values().stream()
        .filter(slot -> isEvictable(slot, rights) && slot.mayTryEviction(nowMillis))
        .filter(slot -> slot.is(State.DRAINING) || queue.waiting(slot.adapter()) == 0)
        .min(leastValuableFirst(nowMillis));
  }

  private boolean isEvictable(Slot slot, Rights rights) {
    boolean usable = slot.is(State.READY) || slot.is(State.DRAINING);
    return usable && rights.held() && slot.provenIn(rights.term()) && !isPinned(slot.adapter());
  }

  private boolean isPinned(AdapterVersion adapter) {
    return running.values().stream().anyMatch(r -> r.request.adapter().equals(adapter));
  }

  private Comparator<Slot> leastValuableFirst(long nowMillis) {
    Comparator<Slot> drainingFirst = Comparator.comparing(slot -> !slot.is(State.DRAINING));
    if (!policy.evictByValue()) {
      return drainingFirst.thenComparingLong(Slot::lastUsedMillis);
    }
    return drainingFirst
        .thenComparingDouble(slot -> popularity.value(slot.adapter(), nowMillis))
        .thenComparingLong(Slot::lastUsedMillis);
  }

  /**
   * Lets a busy slot run dry for an adapter that has waited too long. Without this an adapter could
   * wait for ever behind slots that always have a request running.
   */
  private void drainOne(Rights rights, AdapterVersion wanted, long nowMillis) {
    if (slots.values().stream().anyMatch(s -> s.is(State.DRAINING) || s.is(State.UNLOADING))) {
      return;
    }
    slots.values().stream()
        .filter(slot -> slot.is(State.READY) && slot.provenIn(rights.term()))
        .filter(slot -> !slot.adapter().equals(wanted))
        .min(leastValuableFirst(nowMillis))
        .ifPresent(slot -> slot.become(State.DRAINING, nowMillis));
  }

  /**
   * Takes draining slots back into use once nobody waits for them; requests that queue for a
   * draining adapter would otherwise never start.
   */
  private void stopDraining(long nowMillis) {
    slots.values().stream()
        .filter(slot -> slot.is(State.DRAINING))
        .forEach(slot -> slot.become(State.READY, nowMillis));
  }

  private void evict(Slot slot, long nowMillis) {
    slot.become(State.UNLOADING, nowMillis);
    actions.add(new RunnerAction.Unload(slot.adapter()));
  }

  private void endPending(AdapterVersion adapter) {
    if (pending != null && pending.adapter.equals(adapter)) {
      pending = null;
      actions.add(new RunnerAction.ReturnTurn(adapter));
    }
  }

  private void endRequestsNotShown(EngineReport report) {
    // A request whose start is in doubt may still reach the engine for the order lifetime.
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
            slot.become(State.READY, nowMillis);
          }
        }
        case LOAD_UNKNOWN -> {
          if (resident) {
            slot.become(State.READY, nowMillis);
          } else if (!loading) {
            gone.add(slot);
          }
        }
        default -> {
          // LOADING and UNLOADING end with their order's own answer.
        }
      }
    }
    gone.forEach(slot -> slots.remove(slot.adapter()));
  }

  private void adoptResidents(EngineReport report, long nowMillis) {
    for (AdapterVersion adapter : report.resident()) {
      boolean room = slots.size() < slotCount;
      if (room && !slots.containsKey(adapter) && !quarantinedUntil.containsKey(adapter)) {
        slots.put(adapter, new Slot(adapter, State.READY, UNPROVEN, nowMillis));
      }
    }
  }

  private void proveIdle(EngineReport report, Rights rights, long nowMillis) {
    long since = nothingArrivesSince(rights);
    boolean nothingOutlives = nowMillis >= since + policy.requestLimitMillis();
    if (report.sampledNotBeforeMillis() < since && !nothingOutlives) {
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
        slot.prove(rights.term());
      }
    }
  }

  /**
   * Returns since when nothing that another dispatcher sent can reach the engine: what a former
   * owner sent just before its authority ended may be on its way for the order lifetime.
   */
  private long nothingArrivesSince(Rights rights) {
    return rights.exclusiveSinceMillis() + policy.orderLifetimeMillis();
  }

  private void usedNow(AdapterVersion adapter, long nowMillis) {
    Slot slot = slots.get(adapter);
    if (slot != null) {
      slot.used(nowMillis);
    }
  }

  private static final class Running {
    private final RunnerRequest request;
    private final long sinceMillis;
    private long uncertainSinceMillis = Long.MAX_VALUE;
    private boolean cancelAsked;

    Running(RunnerRequest request, long sinceMillis) {
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
