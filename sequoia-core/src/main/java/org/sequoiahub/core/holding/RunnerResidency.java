package org.sequoiahub.core.holding;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.call.Target;
import org.sequoiahub.core.holding.Order.Operation;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.ModelSpec;

/**
 * Tracks what one runner holds, on the only host that orders it, and decides on the next order.
 *
 * <p>A runner crashes if it is ordered to load more adapters than it has places for. A place
 * therefore counts as taken from the moment a load is sent until an unload is confirmed or until a
 * report that was sampled after the last uncertain order shows it empty. Only one order is pending
 * at a time.
 */
public final class RunnerResidency {

  /** Half-life of an adapter's recent use (ms): popularity changes within seconds. */
  private static final double USE_HALF_LIFE_MILLIS = 4_000;

  /** Weight of the newest wait in the average; about the last five waits, 0.2 s, dominate it. */
  private static final double NEWEST_WAIT_WEIGHT = 0.2;

  /**
   * Reduces the weight of a demand per priority rank below the most urgent one; a mild preference.
   */
  private static final double PRIORITY_DISCOUNT = 0.1;

  private final EngineSpec engine;
  private final ResidencySettings settings;
  private final LoadEstimates estimates;
  private final Map<String, AdapterEntry> adapters = new LinkedHashMap<>();
  private final Set<String> models = new HashSet<>();
  private final WarmAdapters warm;

  /** Since when requests have waited for each adapter that this runner does not hold (ms). */
  private final Map<String, Long> demandedSinceMillis = new HashMap<>();

  private long sequence = -1;
  private @Nullable Order pendingOrder;
  private long uncertainSinceMillis = Long.MIN_VALUE / 2;
  private boolean uncertain = true;
  private long lastModelOrderMillis = Long.MIN_VALUE / 2;
  private long nextOrderMillis = Long.MIN_VALUE / 2;
  private int consecutiveRejections;

  /** Moving average of how long adapters waited until their load was ordered (ms). */
  private double averageQueueMillis;

  /**
   * Creates a residency whose state is unknown until {@link #applyReport} is called.
   *
   * @param estimates the estimates that all residencies of a holder share
   */
  public RunnerResidency(EngineSpec engine, ResidencySettings settings, LoadEstimates estimates) {
    this.engine = requireNonNull(engine, "engine must not be null");
    this.settings = requireNonNull(settings, "settings must not be null");
    this.estimates = requireNonNull(estimates, "estimates must not be null");
    this.warm = new WarmAdapters(estimates.warmCapacity());
  }

  private enum State {
    /** In transit: its load was ordered, and it is not expected to be ready yet. */
    COMING,
    READY,
    /** Its unload was ordered. */
    LEAVING
  }

  /** An adapter that takes up a place of the runner. */
  private static final class AdapterEntry {
    final String target;
    final int version;
    State state;

    /** Whether the runner has not confirmed the order to unload it. */
    boolean unloadUnconfirmed;

    /** Whether the runner rejected a request for it although it should hold it. */
    boolean suspect;

    /** Adapters in transit from the weight store when this one was ordered, including itself. */
    int transitAtOrder;

    /** Unloads since this one was unloaded if a quick reload was expected; otherwise -1. */
    int warmDepth = -1;

    /** Whether a newer version was published, so that reloading this one is of no use. */
    boolean superseded;

    /** Whether its reload was late and is given more time once. */
    boolean reloadExtended;

    /** Whether it is not known yet if its load finished on time. */
    boolean timingPending;

    /** Until when the last rejected request for it postponed it (ms). */
    long postponedMillis = Long.MIN_VALUE;

    long orderedMillis;
    long readyMillis;
    long lastUsedMillis;
    double recentUse;
    long recentUseMillis;

    AdapterEntry(String target, int version, State state, long readyMillis, long nowMillis) {
      this.target = target;
      this.version = version;
      this.state = state;
      this.readyMillis = readyMillis;
      this.lastUsedMillis = nowMillis;
      this.recentUseMillis = nowMillis;
    }

    void recordUse(int requests, long nowMillis) {
      double decay = Math.pow(0.5, (nowMillis - recentUseMillis) / USE_HALF_LIFE_MILLIS);
      recentUse =
          recentUse * decay + requests * (nowMillis - recentUseMillis) / USE_HALF_LIFE_MILLIS;
      recentUseMillis = nowMillis;
      if (requests > 0) {
        lastUsedMillis = nowMillis;
      }
    }
  }

  /** Returns whether a report is needed before the next order, and would be recent enough now. */
  public boolean isReportDue(long nowMillis) {
    return uncertain
        && pendingOrder == null
        && nowMillis - uncertainSinceMillis >= settings.maxReportAgeMillis();
  }

  /** Applies a report that was requested while {@link #isReportDue} was true. */
  public void applyReport(RunnerReport report, long nowMillis) {
    final boolean noneAccepted = report.sequence() <= sequence;
    sequence = report.sequence();
    models.clear();
    models.addAll(report.models());
    Map<String, AdapterEntry> former = new LinkedHashMap<>(adapters);
    adapters.clear();
    report
        .adapters()
        .forEach((target, version) -> addReported(former, target, version, State.READY, nowMillis));
    report
        .loading()
        .forEach(
            (target, version) -> addReported(former, target, version, State.COMING, nowMillis));
    boolean unloading = false;
    for (AdapterEntry entry : former.values()) {
      AdapterEntry current = adapters.get(entry.target);
      if (current == null) {
        warm.add(entry.target);
      } else if (entry.state == State.LEAVING && !(entry.unloadUnconfirmed && noneAccepted)) {
        // The unload was or may have been accepted, and waits for the last request to finish.
        current.state = State.LEAVING;
        unloading = true;
      }
    }
    // Only a report shows when a pending unload or the load of a model has finished.
    uncertain = unloading || report.modelOrderPending();
    uncertainSinceMillis = nowMillis;
  }

  private void addReported(
      Map<String, AdapterEntry> former, String target, int version, State state, long nowMillis) {
    AdapterEntry before = former.get(target);
    long ready = state == State.COMING ? nowMillis + estimates.loadTime().millis() : nowMillis;
    AdapterEntry entry = new AdapterEntry(target, version, state, ready, nowMillis);
    if (before != null) {
      entry.lastUsedMillis = before.lastUsedMillis;
      entry.recentUse = before.recentUse;
      entry.recentUseMillis = before.recentUseMillis;
    }
    adapters.put(target, entry);
  }

  /**
   * Returns the order to send now; empty if there is none.
   *
   * @param demands what requests wait for at this runner
   * @param uses returns how many requests of all hosts use an adapter at this runner
   * @param newest returns the newest published version of an adapter; 0 if none was published
   * @param transitElsewhere the number of adapters in transit to other runners
   */
  public Optional<Order> nextOrder(
      Collection<Demand> demands,
      ToIntFunction<String> uses,
      ToIntFunction<String> newest,
      int transitElsewhere,
      long nowMillis) {
    refreshEntries(uses, nowMillis);
    if (pendingOrder != null || uncertain || nowMillis < nextOrderMillis) {
      return Optional.empty();
    }
    Optional<Order> outdated = unloadOutdated(newest);
    if (outdated.isPresent()) {
      return outdated;
    }
    List<Demand> ordered = prioritize(demands, nowMillis);
    for (Demand demand : ordered) {
      Optional<Order> order = orderFor(demand, ordered, newest, transitElsewhere, nowMillis);
      if (order.isPresent()) {
        return order;
      }
    }
    return models.isEmpty()
        ? loadModel(engine.models().get(0).name(), nowMillis)
        : Optional.empty();
  }

  /**
   * Returns the demands in the order in which they are served: first those that can still meet
   * their target latency, and among these the one with the longest total wait of its requests,
   * weighted by priority.
   *
   * <p>Sorting strictly by priority would make the long prompts of a less urgent route, which are
   * worth most to their callers, wait behind the adapter of each short prompt.
   *
   * <p>After an outage more requests wait than adapters can be loaded before the deadlines. Serving
   * the oldest first would make all of them late.
   *
   * <p>Sorting by the number of requests alone would let a single request for a rare adapter wait
   * for seconds while there is always another adapter with two requests. Sorting by age alone would
   * delay one load that serves many requests behind many loads that serve one each.
   */
  private List<Demand> prioritize(Collection<Demand> demands, long nowMillis) {
    Map<String, Demand> joined = new HashMap<>();
    for (Demand demand : demands) {
      joined.merge(demand.target(), demand, Demand::plus);
    }
    demandedSinceMillis.keySet().retainAll(joined.keySet());
    joined.keySet().forEach(target -> demandedSinceMillis.putIfAbsent(target, nowMillis));
    List<Demand> ordered = new ArrayList<>(joined.values());
    ordered.sort(
        Comparator.comparing((Demand demand) -> demand.inTime() == 0)
            .thenComparingDouble(demand -> -weightedWait(demand, nowMillis))
            .thenComparing(Demand::target));
    return ordered;
  }

  private double weightedWait(Demand demand, long nowMillis) {
    long since = demandedSinceMillis.getOrDefault(demand.target(), nowMillis);
    return demand.waiting() * (nowMillis - since + 1) / (1 + demand.priority() * PRIORITY_DISCOUNT);
  }

  private void refreshEntries(ToIntFunction<String> uses, long nowMillis) {
    for (AdapterEntry entry : adapters.values()) {
      entry.recordUse(uses.applyAsInt(entry.target), nowMillis);
      if (entry.state == State.COMING && nowMillis >= entry.readyMillis) {
        entry.state = State.READY;
      }
      if (entry.timingPending && nowMillis - entry.readyMillis >= settings.delayMillis()) {
        entry.timingPending = false;
        recordOnTime(entry);
      }
    }
  }

  private void recordOnTime(AdapterEntry entry) {
    if (entry.warmDepth >= 0) {
      estimates.warmCapacity().recordFastReload(entry.warmDepth);
      estimates.reloadTime().recordOnTime(entry.readyMillis - entry.orderedMillis);
    } else {
      estimates.transitLimit().recordOnTime(entry.transitAtOrder);
    }
  }

  private Optional<Order> unloadOutdated(ToIntFunction<String> newest) {
    for (AdapterEntry entry : adapters.values()) {
      if (entry.state == State.READY && entry.version < newest.applyAsInt(entry.target)) {
        entry.superseded = true;
        return Optional.of(order(Operation.UNLOAD, entry.target, 0));
      }
    }
    return Optional.empty();
  }

  private Optional<Order> orderFor(
      Demand demand,
      List<Demand> demands,
      ToIntFunction<String> newest,
      int transitElsewhere,
      long nowMillis) {
    if (!models.contains(demand.model())) {
      return loadModel(demand.model(), nowMillis);
    }
    if (demand.adapter().isEmpty() || adapters.containsKey(demand.target())) {
      return Optional.empty();
    }
    if (!mayLoad(demand.target(), transitElsewhere)) {
      return Optional.empty();
    }
    if (hasRoom(demand.model())) {
      return Optional.of(
          order(Operation.LOAD, demand.target(), newest.applyAsInt(demand.target())));
    }
    return evictionCandidate(demands, nowMillis)
        .map(entry -> order(Operation.UNLOAD, entry.target, 0));
  }

  /**
   * Returns whether an adapter may be loaded now.
   *
   * <p>Beyond a certain number of adapters in transit over all runners, the weight store loads no
   * more of them per second and each load only takes longer. Every runner may therefore load one
   * adapter at any time, and more only below that number. Adapters that the runner can reload
   * quickly do not use the weight store.
   */
  private boolean mayLoad(String target, int transitElsewhere) {
    int transit = inTransit();
    return transit == 0
        || (transit < settings.maxTransitPerRunner()
            && (transit + transitElsewhere < estimates.transitLimit().limit()
                || warm.contains(target)));
  }

  private boolean hasRoom(String model) {
    if (adapters.size() >= engine.maxAdapters()) {
      return false;
    }
    double used = 0;
    for (String held : models) {
      used += spec(held).map(ModelSpec::weightsMb).orElse(0.0);
    }
    for (AdapterEntry entry : adapters.values()) {
      used += spec(Target.model(entry.target)).map(ModelSpec::adapterMb).orElse(0.0);
    }
    return used + spec(model).map(ModelSpec::adapterMb).orElse(0.0) <= engine.weightsMb();
  }

  /**
   * Returns the adapter to unload for another one; empty if there is none.
   *
   * <p>An adapter in use counts as used now (see {@link #refreshEntries}). One that was used
   * shortly before may have a request in flight from a host that has not reported it yet.
   */
  private Optional<AdapterEntry> evictionCandidate(List<Demand> demands, long nowMillis) {
    Set<String> demanded = new HashSet<>();
    demands.forEach(demand -> demanded.add(demand.target()));
    return adapters.values().stream()
        .filter(entry -> entry.state == State.READY && !demanded.contains(entry.target))
        .filter(entry -> nowMillis - entry.lastUsedMillis >= settings.minIdleMillis())
        .min(
            Comparator.comparingDouble((AdapterEntry entry) -> entry.recentUse)
                .thenComparingLong(entry -> entry.lastUsedMillis));
  }

  /**
   * Returns the order to load a model if its weights fit. Models are not replaced by each other: a
   * replacement costs seconds and a scarce load, and a runner that holds a model can serve it
   * meanwhile.
   */
  private Optional<Order> loadModel(String model, long nowMillis) {
    double used = 0;
    for (String held : models) {
      used += spec(held).map(ModelSpec::weightsMb).orElse(0.0);
    }
    Optional<ModelSpec> wanted = spec(model);
    boolean recent = nowMillis - lastModelOrderMillis < settings.modelRetryMillis();
    if (models.contains(model) || wanted.isEmpty() || recent) {
      return Optional.empty();
    }
    if (used + wanted.get().weightsMb() > engine.weightsMb()) {
      return Optional.empty();
    }
    return Optional.of(new Order(Operation.LOAD, model, "", 0));
  }

  /** Records that an order is being sent. */
  public void orderSent(Order order, long nowMillis) {
    pendingOrder = order;
    if (order.adapter().isEmpty()) {
      lastModelOrderMillis = nowMillis;
    } else if (order.operation() == Operation.LOAD) {
      long ready = nowMillis + estimates.loadTime().millis();
      Long demanded = demandedSinceMillis.get(order.target());
      if (demanded != null) {
        averageQueueMillis += NEWEST_WAIT_WEIGHT * (nowMillis - demanded - averageQueueMillis);
      }
      adapters.put(
          order.target(),
          new AdapterEntry(
              order.target(), Math.max(1, order.version()), State.COMING, ready, nowMillis));
    } else {
      AdapterEntry entry = adapters.get(order.target());
      if (entry != null) {
        entry.state = State.LEAVING;
        entry.unloadUnconfirmed = true;
      }
    }
  }

  /** Records the reply to the last order; replies to earlier orders are ignored. */
  public void replyReceived(Order order, OrderReply reply, int transitElsewhere, long nowMillis) {
    if (!order.equals(pendingOrder)) {
      return;
    }
    pendingOrder = null;
    switch (reply) {
      case ACCEPTED, DONE -> {
        consecutiveRejections = 0;
        applyAccepted(order, reply, transitElsewhere, nowMillis);
      }
      case UNKNOWN -> markUncertain(nowMillis);
      default -> revertOrder(order, nowMillis);
    }
  }

  /**
   * Reverts an order that the runner rejected. A single rejection may only mean that too many
   * adapters are in transit. After two rejections in a row the recorded state is considered wrong,
   * and a report is needed to correct it.
   */
  private void revertOrder(Order order, long nowMillis) {
    AdapterEntry entry = adapters.get(order.target());
    if (entry != null && entry.state == State.LEAVING) {
      entry.state = State.READY;
    } else if (entry != null && order.operation() == Operation.LOAD) {
      adapters.remove(order.target());
    }
    if (consecutiveRejections++ > 0) {
      markUncertain(nowMillis);
    } else {
      nextOrderMillis = nowMillis + settings.delayMillis();
    }
  }

  private void markUncertain(long nowMillis) {
    uncertain = true;
    uncertainSinceMillis = nowMillis;
  }

  private void applyAccepted(Order order, OrderReply reply, int transitElsewhere, long nowMillis) {
    boolean changed = reply == OrderReply.ACCEPTED || order.operation() == Operation.UNLOAD;
    sequence += changed ? 1 : 0;
    if (order.adapter().isEmpty()) {
      markUncertain(nowMillis);
      return;
    }
    AdapterEntry entry = adapters.get(order.target());
    if (entry == null) {
      return;
    }
    entry.unloadUnconfirmed = false;
    if (order.operation() == Operation.LOAD) {
      entry.orderedMillis = nowMillis;
      entry.transitAtOrder = transitElsewhere + inTransit();
      entry.warmDepth = warm.depth(order.target());
      long load =
          entry.warmDepth >= 0 ? estimates.reloadTime().millis() : loadMillis(transitElsewhere);
      entry.readyMillis = nowMillis + (changed ? load : 0);
      entry.timingPending = changed;
      estimates.loadTime().recordOrdered();
      warm.remove(order.target());
    } else if (reply == OrderReply.DONE) {
      adapters.remove(order.target());
      if (!entry.superseded) {
        warm.add(order.target());
      }
    } else {
      markUncertain(nowMillis);
    }
  }

  /** Returns how long an adapter takes to load from the weight store once it is ordered (ms). */
  public long loadMillis(int transitElsewhere) {
    int transit = transitElsewhere + inTransit();
    int limit = estimates.transitLimit().limit();
    return estimates.loadTime().millis() * Math.max(transit, limit) / limit;
  }

  /**
   * Records that the runner rejected a request for an adapter that it should hold.
   *
   * <p>Either the load takes longer than expected or, if the adapter was ready for a while, the
   * recorded state is wrong and a report is needed to correct it. Until then the adapter is not
   * reported as held, because the hosts would send the same request to the runner repeatedly and
   * have it rejected each time.
   *
   * @return why the request was sent there
   */
  public MissingAdapter adapterMissing(String target, long nowMillis) {
    AdapterEntry entry = adapters.get(target);
    if (entry == null || entry.state == State.LEAVING) {
      return new MissingAdapter(MissingAdapter.Cause.UNLOADED, 0);
    }
    final MissingAdapter.Cause cause = causeOfMissing(entry, nowMillis);
    if (nowMillis < entry.postponedMillis) {
      // It was sent before the postponement, so it is no further evidence of a late load.
      return missingAdapter(entry, cause, nowMillis);
    }
    if (nowMillis - entry.readyMillis >= settings.maxReportAgeMillis()) {
      entry.suspect = true;
      uncertain = true;
      uncertainSinceMillis = nowMillis - settings.maxReportAgeMillis();
    } else {
      recordLate(entry, nowMillis);
      entry.state = State.COMING;
      entry.readyMillis = Math.max(entry.readyMillis, nowMillis + settings.delayMillis());
      entry.postponedMillis = entry.readyMillis;
    }
    return missingAdapter(entry, cause, nowMillis);
  }

  private static MissingAdapter missingAdapter(
      AdapterEntry entry, MissingAdapter.Cause cause, long nowMillis) {
    return new MissingAdapter(
        cause, entry.orderedMillis == 0 ? 0 : nowMillis - entry.orderedMillis);
  }

  private MissingAdapter.Cause causeOfMissing(AdapterEntry entry, long nowMillis) {
    if (!entry.timingPending && nowMillis - entry.readyMillis >= settings.delayMillis()) {
      return MissingAdapter.Cause.UNEXPECTED;
    }
    return entry.warmDepth >= 0 ? MissingAdapter.Cause.RELOAD_LATE : MissingAdapter.Cause.LOAD_LATE;
  }

  private void recordLate(AdapterEntry entry, long nowMillis) {
    if (!entry.timingPending) {
      return;
    }
    if (entry.warmDepth >= 0 && !entry.reloadExtended) {
      estimates.reloadTime().recordLate();
      entry.reloadExtended = estimates.reloadTime().mayTakeLonger();
      if (entry.reloadExtended) {
        return;
      }
    }
    entry.timingPending = false;
    if (entry.warmDepth >= 0) {
      // The runner no longer had it in memory and loads it from the weight store.
      estimates.warmCapacity().recordSlowReload(entry.warmDepth);
      entry.readyMillis = entry.orderedMillis + estimates.loadTime().millis();
    } else if (!estimates
        .transitLimit()
        .recordLate(entry.transitAtOrder, entry.orderedMillis, nowMillis)) {
      estimates.loadTime().recordLate();
    }
  }

  /** Returns how many adapters are in transit to this runner. */
  public int inTransit() {
    return (int) adapters.values().stream().filter(entry -> entry.state == State.COMING).count();
  }

  /** Returns the adapters that can serve requests now or once they are loaded. */
  public List<ResidentAdapter> heldAdapters() {
    List<ResidentAdapter> held = new ArrayList<>();
    for (AdapterEntry entry : adapters.values()) {
      if (entry.state != State.LEAVING && !entry.suspect) {
        held.add(new ResidentAdapter(entry.target, entry.version, entry.readyMillis));
      }
    }
    return held;
  }

  /** Returns the base models that the runner holds. */
  public Set<String> models() {
    return Set.copyOf(models);
  }

  /**
   * Returns how many adapter places are empty or hold an idle adapter.
   *
   * @param uses returns how many requests of all hosts use an adapter at this runner
   */
  public int freePlaces(ToIntFunction<String> uses) {
    int taken = 0;
    for (AdapterEntry entry : adapters.values()) {
      boolean idle = entry.state == State.READY && uses.applyAsInt(entry.target) == 0;
      taken += idle ? 0 : 1;
    }
    return Math.max(0, engine.maxAdapters() - taken);
  }

  /**
   * Returns how long adapters currently wait until their load is ordered (ms): for a place, for the
   * weight store, or for the loads ahead of them.
   */
  public long queueMillis(long nowMillis) {
    long oldest = 0;
    for (Map.Entry<String, Long> demand : demandedSinceMillis.entrySet()) {
      if (!adapters.containsKey(demand.getKey())) {
        oldest = Math.max(oldest, nowMillis - demand.getValue());
      }
    }
    return oldest == 0 ? 0 : Math.max(oldest, Math.round(averageQueueMillis));
  }

  /** Returns the number of orders that the runner has accepted; negative if not known. */
  public long sequence() {
    return sequence;
  }

  /** Returns whether the runner's state is known and no order is pending. */
  public boolean isSettled() {
    return !uncertain && pendingOrder == null;
  }

  private Optional<ModelSpec> spec(String model) {
    return engine.models().stream().filter(spec -> spec.name().equals(model)).findFirst();
  }

  private static Order order(Operation operation, String target, int version) {
    return new Order(operation, Target.model(target), Target.adapter(target), version);
  }
}
