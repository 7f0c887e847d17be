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
 * What one runner holds, as known by the only host that orders it, and the next order to give.
 *
 * <p>A runner that is ordered to load more than it has places for crashes. So a place counts as
 * taken from the sending of a load until an unload is confirmed or a report, sampled after the last
 * uncertain order, shows it empty. Orders are given one at a time.
 */
public final class RunnerResidency {

  /** Use halves in this time (ms): popularity moves within seconds. */
  private static final double USE_HALF_LIFE_MILLIS = 4_000;

  /** Weight of the newest wait for a load; about the last five decide, a fifth of a second's. */
  private static final double NEWEST_WAIT_WEIGHT = 0.2;

  /** By how much less a demand counts for each rank below the most urgent; a mild preference. */
  private static final double PRIORITY_DISCOUNT = 0.1;

  private final EngineSpec engine;
  private final ResidencySettings settings;
  private final LoadEstimates estimates;
  private final Map<String, AdapterEntry> adapters = new LinkedHashMap<>();
  private final Set<String> models = new HashSet<>();
  private final WarmAdapters warm;

  /** Since when requests have waited here for each adapter that is not there. */
  private final Map<String, Long> demandedSinceMillis = new HashMap<>();

  private long sequence = -1;
  private @Nullable Order pendingOrder;
  private long uncertainSinceMillis = Long.MIN_VALUE / 2;
  private boolean uncertain = true;
  private long lastModelOrderMillis = Long.MIN_VALUE / 2;
  private long nextOrderMillis = Long.MIN_VALUE / 2;
  private int consecutiveRejections;

  /** How long adapters lately waited until their load was ordered. */
  private double averageQueueMillis;

  /**
   * Creates a residency of which nothing is known until {@link #applyReport}.
   *
   * @param estimates what all residencies of a holder have learnt from their loads
   */
  public RunnerResidency(EngineSpec engine, ResidencySettings settings, LoadEstimates estimates) {
    this.engine = requireNonNull(engine, "engine must not be null");
    this.settings = requireNonNull(settings, "settings must not be null");
    this.estimates = requireNonNull(estimates, "estimates must not be null");
    this.warm = new WarmAdapters(estimates.warmCapacity());
  }

  private enum State {
    COMING,
    READY,
    LEAVING
  }

  private static final class AdapterEntry {
    final String target;
    final int version;
    State state;

    /** Whether the runner has not confirmed the order to drop it. */
    boolean unloadUnconfirmed;

    /** Whether the runner refused a request for it although it should be there. */
    boolean suspect;

    /** Adapters on their way from the store when this one was ordered, itself included. */
    int transitAtOrder;

    /** Drops since this one was dropped, if the runner was expected to have kept it; else -1. */
    int warmDepth = -1;

    /** Whether a newer version was published: what the runner keeps of this one is of no use. */
    boolean superseded;

    /** Whether it is still open whether it came in time. */
    boolean timingPending;

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
      recentUse = recentUse * decay + requests * (nowMillis - recentUseMillis) / USE_HALF_LIFE_MILLIS;
      recentUseMillis = nowMillis;
      if (requests > 0) {
        lastUsedMillis = nowMillis;
      }
    }
  }

  /** Returns whether a report is needed before further orders, and would be new enough now. */
  public boolean isReportDue(long nowMillis) {
    return uncertain
        && pendingOrder == null
        && nowMillis - uncertainSinceMillis >= settings.maxReportAgeMillis();
  }

  /** Takes in a report that was asked for when {@link #isReportDue} held. */
  public void applyReport(RunnerReport report, long nowMillis) {
    final boolean noneAccepted = report.sequence() <= sequence;
    sequence = report.sequence();
    models.clear();
    models.addAll(report.models());
    Map<String, AdapterEntry> former = new LinkedHashMap<>(adapters);
    adapters.clear();
    report
        .adapters()
        .forEach((target, version) -> applyReport(former, target, version, State.READY, nowMillis));
    report
        .loading()
        .forEach((target, version) -> applyReport(former, target, version, State.COMING, nowMillis));
    boolean leaving = false;
    for (AdapterEntry item : former.values()) {
      AdapterEntry still = adapters.get(item.target);
      if (still == null) {
        warm.add(item.target);
      } else if (item.state == State.LEAVING && !(item.unloadUnconfirmed && noneAccepted)) {
        // Its order was accepted, or may have been: it waits for the last request that uses it.
        still.state = State.LEAVING;
        leaving = true;
      }
    }
    // While a drop waits for its requests, or a model loads, only reports tell when it is done.
    uncertain = leaving || report.modelOrderPending();
    uncertainSinceMillis = nowMillis;
  }

  private void applyReport(
      Map<String, AdapterEntry> former, String target, int version, State state, long nowMillis) {
    AdapterEntry before = former.get(target);
    long ready = state == State.COMING ? nowMillis + estimates.loadTime().millis() : nowMillis;
    AdapterEntry item = new AdapterEntry(target, version, state, ready, nowMillis);
    if (before != null) {
      item.lastUsedMillis = before.lastUsedMillis;
      item.recentUse = before.recentUse;
      item.recentUseMillis = before.recentUseMillis;
    }
    adapters.put(target, item);
  }

  /**
   * Returns the order to give now.
   *
   * @param demands what requests wait for, at this runner
   * @param uses how many requests of all hosts use an adapter here
   * @param newest the newest published version of an adapter, 0 if none was published
   * @param transitElsewhere adapters on their way to other runners
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
   * Returns the demands in the order in which they are met: those that can still be in time first,
   * of these the one whose requests have waited longest together, urgent ones counting for more.
   *
   * <p>Strictly by urgency, the long prompts of a less urgent route waited behind each short one's
   * adapter and were the worst served although they are worth most to their callers: 0.70 of their
   * worth against 0.77 in this order, one day played with each.
   *
   * <p>After an outage more requests wait than adapters come in their time; oldest first, all of
   * them would be late.
   *
   * <p>By number alone a single request for a rare adapter waited for seconds, as there was always
   * another adapter that two wanted; by age alone one load for many came after many for one.
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
    for (AdapterEntry item : adapters.values()) {
      item.recordUse(uses.applyAsInt(item.target), nowMillis);
      if (item.state == State.COMING && nowMillis >= item.readyMillis) {
        item.state = State.READY;
      }
      if (item.timingPending && nowMillis - item.readyMillis >= settings.delayMillis()) {
        item.timingPending = false;
        recordOnTime(item);
      }
    }
  }

  private void recordOnTime(AdapterEntry item) {
    if (item.warmDepth >= 0) {
      estimates.warmCapacity().recordFastReload(item.warmDepth);
    } else {
      estimates.transitLimit().recordOnTime(item.transitAtOrder);
    }
  }

  private Optional<Order> unloadOutdated(ToIntFunction<String> newest) {
    for (AdapterEntry item : adapters.values()) {
      if (item.state == State.READY && item.version < newest.applyAsInt(item.target)) {
        item.superseded = true;
        return Optional.of(order(Operation.UNLOAD, item.target, 0));
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
    return evictionCandidate(demands, nowMillis).map(item -> order(Operation.UNLOAD, item.target, 0));
  }

  /**
   * Beyond a number of adapters on their way over all runners the store brings no more of them a
   * second, and each only takes longer; so every runner may bring one, and more only below that
   * number. One that the runner kept does not come from the store.
   */
  private boolean mayLoad(String target, int transitElsewhere) {
    int coming = inTransit();
    return coming == 0
        || (coming < settings.maxTransitPerRunner()
            && (coming + transitElsewhere < estimates.transitLimit().limit() || warm.contains(target)));
  }

  private boolean hasRoom(String model) {
    if (adapters.size() >= engine.adapterPlaces()) {
      return false;
    }
    double used = 0;
    for (String held : models) {
      used += spec(held).map(ModelSpec::weightsMb).orElse(0.0);
    }
    for (AdapterEntry item : adapters.values()) {
      used += spec(Target.model(item.target)).map(ModelSpec::adapterMb).orElse(0.0);
    }
    return used + spec(model).map(ModelSpec::adapterMb).orElse(0.0) <= engine.weightsMb();
  }

  /**
   * Returns the adapter to drop for another. One in use now counts as used at this moment (see
   * {@link #refreshEntries}); one that was used a moment ago may have a request on its way from a host that
   * has not told of it yet.
   */
  private Optional<AdapterEntry> evictionCandidate(List<Demand> demands, long nowMillis) {
    Set<String> demanded = new HashSet<>();
    demands.forEach(demand -> demanded.add(demand.target()));
    return adapters.values().stream()
        .filter(item -> item.state == State.READY && !demanded.contains(item.target))
        .filter(item -> nowMillis - item.lastUsedMillis >= settings.minIdleMillis())
        .min(
            Comparator.comparingDouble((AdapterEntry item) -> item.recentUse)
                .thenComparingLong(item -> item.lastUsedMillis));
  }

  /**
   * Loads a model if its weights fit. Models are not swapped for each other: a swap costs seconds
   * and a scarce load, and a runner that holds one serves it meanwhile.
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
          new AdapterEntry(order.target(), Math.max(1, order.version()), State.COMING, ready, nowMillis));
    } else {
      AdapterEntry item = adapters.get(order.target());
      if (item != null) {
        item.state = State.LEAVING;
        item.unloadUnconfirmed = true;
      }
    }
  }

  /** Records the reply to the order that was sent last. */
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
   * Takes back an order that the runner did not accept. It may only have too many adapters on their
   * way; refused twice in a row, this account of it is wrong, and a report must mend it.
   */
  private void revertOrder(Order order, long nowMillis) {
    AdapterEntry item = adapters.get(order.target());
    if (item != null && item.state == State.LEAVING) {
      item.state = State.READY;
    } else if (item != null && order.operation() == Operation.LOAD) {
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
    AdapterEntry item = adapters.get(order.target());
    if (item == null) {
      return;
    }
    item.unloadUnconfirmed = false;
    if (order.operation() == Operation.LOAD) {
      item.orderedMillis = nowMillis;
      item.transitAtOrder = transitElsewhere + inTransit();
      item.warmDepth = warm.depth(order.target());
      long load = item.warmDepth >= 0 ? settings.reloadMillis() : loadMillis(transitElsewhere);
      item.readyMillis = nowMillis + (changed ? load : 0);
      item.timingPending = changed;
      estimates.loadTime().recordOrdered();
      warm.remove(order.target());
    } else if (reply == OrderReply.DONE) {
      adapters.remove(order.target());
      if (!item.superseded) {
        warm.add(order.target());
      }
    } else {
      markUncertain(nowMillis);
    }
  }

  /** Returns how long an adapter takes from the weight store once its load is ordered (ms). */
  public long loadMillis(int transitElsewhere) {
    int transit = transitElsewhere + inTransit();
    int limit = estimates.transitLimit().limit();
    return estimates.loadTime().millis() * Math.max(transit, limit) / limit;
  }

  /**
   * Records that the runner refused a request for an adapter that should be there: it comes later
   * than expected, or, if it was there for a while, this account of the runner is wrong and a
   * report must mend it. Until then it is not told as held: the hosts would send the same request
   * there again and again, each time to be refused.
   */
  public void adapterMissing(String target, long nowMillis) {
    AdapterEntry item = adapters.get(target);
    if (item == null || item.state == State.LEAVING) {
      return;
    }
    if (nowMillis - item.readyMillis >= settings.maxReportAgeMillis()) {
      item.suspect = true;
      uncertain = true;
      uncertainSinceMillis = nowMillis - settings.maxReportAgeMillis();
    } else {
      recordLate(item, nowMillis);
      item.state = State.COMING;
      item.readyMillis = Math.max(item.readyMillis, nowMillis + settings.delayMillis());
    }
  }

  private void recordLate(AdapterEntry item, long nowMillis) {
    if (!item.timingPending) {
      return;
    }
    item.timingPending = false;
    if (item.warmDepth >= 0) {
      // The runner no longer had it: it comes from the store.
      estimates.warmCapacity().recordSlowReload(item.warmDepth);
      item.readyMillis = item.orderedMillis + estimates.loadTime().millis();
    } else if (!estimates.transitLimit().recordLate(item.transitAtOrder, item.orderedMillis, nowMillis)) {
      estimates.loadTime().recordLate();
    }
  }

  /** Returns how many adapters are on their way. */
  public int inTransit() {
    return (int) adapters.values().stream().filter(item -> item.state == State.COMING).count();
  }

  /** Returns the adapters that serve requests or soon will. */
  public List<ResidentAdapter> heldAdapters() {
    List<ResidentAdapter> held = new ArrayList<>();
    for (AdapterEntry item : adapters.values()) {
      if (item.state != State.LEAVING && !item.suspect) {
        held.add(new ResidentAdapter(item.target, item.version, item.readyMillis));
      }
    }
    return held;
  }

  /** Returns the base models that the runner holds. */
  public Set<String> models() {
    return Set.copyOf(models);
  }

  /** Returns how many places are empty or could be emptied at once. */
  public int freePlaces(ToIntFunction<String> uses) {
    int taken = 0;
    for (AdapterEntry item : adapters.values()) {
      boolean idle = item.state == State.READY && uses.applyAsInt(item.target) == 0;
      taken += idle ? 0 : 1;
    }
    return Math.max(0, engine.adapterPlaces() - taken);
  }

  /**
   * Returns how long adapters wait here lately until their load is ordered (ms): for a place, for
   * the store, or for the loads before them.
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

  /** Returns whether the runner's state is known and no order is under way. */
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
