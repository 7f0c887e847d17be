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
  private static final double HALF_LIFE_MILLIS = 4_000;

  /** Weight of the newest wait for a load; about the last five decide, a fifth of a second's. */
  private static final double NEWEST_WAIT = 0.2;

  /** By how much less a demand counts for each rank below the most urgent; a mild preference. */
  private static final double RANK_WEIGHT = 0.1;

  private final EngineSpec engine;
  private final ResidencySettings settings;
  private final LoadEstimates estimates;
  private final Map<String, Item> items = new LinkedHashMap<>();
  private final Set<String> models = new HashSet<>();
  private final WarmAdapters warm;

  /** Since when requests have waited here for each adapter that is not there. */
  private final Map<String, Long> demandedMillis = new HashMap<>();

  private long sequence = -1;
  private @Nullable Order outstanding;
  private long uncertainMillis = Long.MIN_VALUE / 2;
  private boolean uncertain = true;
  private long modelOrderMillis = Long.MIN_VALUE / 2;
  private long nextOrderMillis = Long.MIN_VALUE / 2;
  private int refusals;

  /** How long adapters lately waited until their load was ordered. */
  private double queuedMillis;

  /**
   * Creates a residency of which nothing is known until {@link #adopt}.
   *
   * @param estimates what all residencies of a holder have learnt from their loads
   */
  public RunnerResidency(EngineSpec engine, ResidencySettings settings, LoadEstimates estimates) {
    this.engine = requireNonNull(engine, "engine must not be null");
    this.settings = requireNonNull(settings, "settings must not be null");
    this.estimates = requireNonNull(estimates, "estimates must not be null");
    this.warm = new WarmAdapters(estimates.warm());
  }

  private enum State {
    COMING,
    READY,
    LEAVING
  }

  private static final class Item {
    final String target;
    final int version;
    State state;

    /** Whether the runner has not confirmed the order to drop it. */
    boolean unconfirmed;

    /** Whether the runner refused a request for it although it should be there. */
    boolean doubted;

    /** Adapters on their way from the store when this one was ordered, itself included. */
    int transit;

    /** Drops since this one was dropped, if the runner was expected to have kept it; else -1. */
    int warmDepth = -1;

    /** Whether a newer version was published: what the runner keeps of this one is of no use. */
    boolean superseded;

    /** Whether it is still open whether it came in time. */
    boolean unproven;

    long orderedMillis;
    long readyMillis;
    long usedMillis;
    double recentUse;
    long recentUseMillis;

    Item(String target, int version, State state, long readyMillis, long nowMillis) {
      this.target = target;
      this.version = version;
      this.state = state;
      this.readyMillis = readyMillis;
      this.usedMillis = nowMillis;
      this.recentUseMillis = nowMillis;
    }

    void used(int requests, long nowMillis) {
      double decay = Math.pow(0.5, (nowMillis - recentUseMillis) / HALF_LIFE_MILLIS);
      recentUse = recentUse * decay + requests * (nowMillis - recentUseMillis) / HALF_LIFE_MILLIS;
      recentUseMillis = nowMillis;
      if (requests > 0) {
        usedMillis = nowMillis;
      }
    }
  }

  /** Returns whether a report is needed before further orders, and would be new enough now. */
  public boolean reportDue(long nowMillis) {
    return uncertain
        && outstanding == null
        && nowMillis - uncertainMillis >= settings.reportAgeMillis();
  }

  /** Takes in a report that was asked for when {@link #reportDue} held. */
  public void adopt(RunnerReport report, long nowMillis) {
    final boolean noneAccepted = report.sequence() <= sequence;
    sequence = report.sequence();
    models.clear();
    models.addAll(report.models());
    Map<String, Item> former = new LinkedHashMap<>(items);
    items.clear();
    report
        .adapters()
        .forEach((target, version) -> adopt(former, target, version, State.READY, nowMillis));
    report
        .coming()
        .forEach((target, version) -> adopt(former, target, version, State.COMING, nowMillis));
    boolean leaving = false;
    for (Item item : former.values()) {
      Item still = items.get(item.target);
      if (still == null) {
        warm.add(item.target);
      } else if (item.state == State.LEAVING && !(item.unconfirmed && noneAccepted)) {
        // Its order was accepted, or may have been: it waits for the last request that uses it.
        still.state = State.LEAVING;
        leaving = true;
      }
    }
    // While a drop waits for its requests, or a model loads, only reports tell when it is done.
    uncertain = leaving || report.busy();
    uncertainMillis = nowMillis;
  }

  private void adopt(
      Map<String, Item> former, String target, int version, State state, long nowMillis) {
    Item before = former.get(target);
    long ready = state == State.COMING ? nowMillis + estimates.time().millis() : nowMillis;
    Item item = new Item(target, version, state, ready, nowMillis);
    if (before != null) {
      item.usedMillis = before.usedMillis;
      item.recentUse = before.recentUse;
      item.recentUseMillis = before.recentUseMillis;
    }
    items.put(target, item);
  }

  /**
   * Returns the order to give now.
   *
   * @param demands what requests wait for, at this runner
   * @param uses how many requests of all hosts use an adapter here
   * @param newest the newest published version of an adapter, 0 if none was published
   * @param transitElsewhere adapters on their way to other runners
   */
  public Optional<Order> next(
      Collection<Demand> demands,
      ToIntFunction<String> uses,
      ToIntFunction<String> newest,
      int transitElsewhere,
      long nowMillis) {
    settle(uses, nowMillis);
    if (outstanding != null || uncertain || nowMillis < nextOrderMillis) {
      return Optional.empty();
    }
    Optional<Order> outdated = outdated(newest);
    if (outdated.isPresent()) {
      return outdated;
    }
    List<Demand> ordered = inTurn(demands, nowMillis);
    for (Demand demand : ordered) {
      Optional<Order> order = serve(demand, ordered, newest, transitElsewhere, nowMillis);
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
  private List<Demand> inTurn(Collection<Demand> demands, long nowMillis) {
    Map<String, Demand> joined = new HashMap<>();
    for (Demand demand : demands) {
      joined.merge(demand.target(), demand, Demand::plus);
    }
    demandedMillis.keySet().retainAll(joined.keySet());
    joined.keySet().forEach(target -> demandedMillis.putIfAbsent(target, nowMillis));
    List<Demand> ordered = new ArrayList<>(joined.values());
    ordered.sort(
        Comparator.comparing((Demand demand) -> demand.inTime() == 0)
            .thenComparingDouble(demand -> -waitedTogether(demand, nowMillis))
            .thenComparing(Demand::target));
    return ordered;
  }

  private double waitedTogether(Demand demand, long nowMillis) {
    long since = demandedMillis.getOrDefault(demand.target(), nowMillis);
    return demand.waiting() * (nowMillis - since + 1) / (1 + demand.priority() * RANK_WEIGHT);
  }

  private void settle(ToIntFunction<String> uses, long nowMillis) {
    for (Item item : items.values()) {
      item.used(uses.applyAsInt(item.target), nowMillis);
      if (item.state == State.COMING && nowMillis >= item.readyMillis) {
        item.state = State.READY;
      }
      if (item.unproven && nowMillis - item.readyMillis >= settings.lateMillis()) {
        item.unproven = false;
        cameInTime(item);
      }
    }
  }

  private void cameInTime(Item item) {
    if (item.warmDepth >= 0) {
      estimates.warm().cameQuickly(item.warmDepth);
    } else {
      estimates.limit().inTime(item.transit);
    }
  }

  private Optional<Order> outdated(ToIntFunction<String> newest) {
    for (Item item : items.values()) {
      if (item.state == State.READY && item.version < newest.applyAsInt(item.target)) {
        item.superseded = true;
        return Optional.of(order(Operation.UNLOAD, item.target, 0));
      }
    }
    return Optional.empty();
  }

  private Optional<Order> serve(
      Demand demand,
      List<Demand> demands,
      ToIntFunction<String> newest,
      int transitElsewhere,
      long nowMillis) {
    if (!models.contains(demand.model())) {
      return loadModel(demand.model(), nowMillis);
    }
    if (demand.adapter().isEmpty() || items.containsKey(demand.target())) {
      return Optional.empty();
    }
    if (!mayBring(demand.target(), transitElsewhere)) {
      return Optional.empty();
    }
    if (hasRoom(demand.model())) {
      return Optional.of(
          order(Operation.LOAD, demand.target(), newest.applyAsInt(demand.target())));
    }
    return leastWorth(demands, nowMillis).map(item -> order(Operation.UNLOAD, item.target, 0));
  }

  /**
   * Beyond a number of adapters on their way over all runners the store brings no more of them a
   * second, and each only takes longer; so every runner may bring one, and more only below that
   * number. One that the runner kept does not come from the store.
   */
  private boolean mayBring(String target, int transitElsewhere) {
    int coming = coming();
    return coming == 0
        || (coming < settings.transitPerRunner()
            && (coming + transitElsewhere < estimates.limit().limit() || warm.contains(target)));
  }

  private boolean hasRoom(String model) {
    if (items.size() >= engine.maxAdapters()) {
      return false;
    }
    double used = 0;
    for (String held : models) {
      used += spec(held).map(ModelSpec::weightsMb).orElse(0.0);
    }
    for (Item item : items.values()) {
      used += spec(Target.model(item.target)).map(ModelSpec::adapterMb).orElse(0.0);
    }
    return used + spec(model).map(ModelSpec::adapterMb).orElse(0.0) <= engine.weightsMb();
  }

  /**
   * Returns the adapter to drop for another. One in use now counts as used at this moment (see
   * {@link #settle}); one that was used a moment ago may have a request on its way from a host that
   * has not told of it yet.
   */
  private Optional<Item> leastWorth(List<Demand> demands, long nowMillis) {
    Set<String> demanded = new HashSet<>();
    demands.forEach(demand -> demanded.add(demand.target()));
    return items.values().stream()
        .filter(item -> item.state == State.READY && !demanded.contains(item.target))
        .filter(item -> nowMillis - item.usedMillis >= settings.idleMillis())
        .min(
            Comparator.comparingDouble((Item item) -> item.recentUse)
                .thenComparingLong(item -> item.usedMillis));
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
    boolean recent = nowMillis - modelOrderMillis < settings.modelRetryMillis();
    if (models.contains(model) || wanted.isEmpty() || recent) {
      return Optional.empty();
    }
    if (used + wanted.get().weightsMb() > engine.weightsMb()) {
      return Optional.empty();
    }
    return Optional.of(new Order(Operation.LOAD, model, "", 0));
  }

  /** Records that an order is being sent. */
  public void sent(Order order, long nowMillis) {
    outstanding = order;
    if (order.adapter().isEmpty()) {
      modelOrderMillis = nowMillis;
    } else if (order.operation() == Operation.LOAD) {
      long ready = nowMillis + estimates.time().millis();
      Long demanded = demandedMillis.get(order.target());
      if (demanded != null) {
        queuedMillis += NEWEST_WAIT * (nowMillis - demanded - queuedMillis);
      }
      items.put(
          order.target(),
          new Item(order.target(), Math.max(1, order.version()), State.COMING, ready, nowMillis));
    } else {
      Item item = items.get(order.target());
      if (item != null) {
        item.state = State.LEAVING;
        item.unconfirmed = true;
      }
    }
  }

  /** Records the reply to the order that was sent last. */
  public void replied(Order order, OrderReply reply, int transitElsewhere, long nowMillis) {
    if (!order.equals(outstanding)) {
      return;
    }
    outstanding = null;
    switch (reply) {
      case ACCEPTED, DONE -> {
        refusals = 0;
        accepted(order, reply, transitElsewhere, nowMillis);
      }
      case UNKNOWN -> doubt(nowMillis);
      default -> refused(order, nowMillis);
    }
  }

  /**
   * Takes back an order that the runner did not accept. It may only have too many adapters on their
   * way; refused twice in a row, this account of it is wrong, and a report must mend it.
   */
  private void refused(Order order, long nowMillis) {
    Item item = items.get(order.target());
    if (item != null && item.state == State.LEAVING) {
      item.state = State.READY;
    } else if (item != null && order.operation() == Operation.LOAD) {
      items.remove(order.target());
    }
    if (refusals++ > 0) {
      doubt(nowMillis);
    } else {
      nextOrderMillis = nowMillis + settings.lateMillis();
    }
  }

  private void doubt(long nowMillis) {
    uncertain = true;
    uncertainMillis = nowMillis;
  }

  private void accepted(Order order, OrderReply reply, int transitElsewhere, long nowMillis) {
    boolean changed = reply == OrderReply.ACCEPTED || order.operation() == Operation.UNLOAD;
    sequence += changed ? 1 : 0;
    if (order.adapter().isEmpty()) {
      doubt(nowMillis);
      return;
    }
    Item item = items.get(order.target());
    if (item == null) {
      return;
    }
    item.unconfirmed = false;
    if (order.operation() == Operation.LOAD) {
      item.orderedMillis = nowMillis;
      item.transit = transitElsewhere + coming();
      item.warmDepth = warm.depth(order.target());
      long load = item.warmDepth >= 0 ? settings.reloadMillis() : bringMillis(transitElsewhere);
      item.readyMillis = nowMillis + (changed ? load : 0);
      item.unproven = changed;
      estimates.time().ordered();
      warm.remove(order.target());
    } else if (reply == OrderReply.DONE) {
      items.remove(order.target());
      if (!item.superseded) {
        warm.add(order.target());
      }
    } else {
      doubt(nowMillis);
    }
  }

  /** Returns how long an adapter takes from the weight store once its load is ordered (ms). */
  public long bringMillis(int transitElsewhere) {
    int transit = transitElsewhere + coming();
    int limit = estimates.limit().limit();
    return estimates.time().millis() * Math.max(transit, limit) / limit;
  }

  /**
   * Records that the runner refused a request for an adapter that should be there: it comes later
   * than expected, or, if it was there for a while, this account of the runner is wrong and a
   * report must mend it. Until then it is not told as held: the hosts would send the same request
   * there again and again, each time to be refused.
   */
  public void missing(String target, long nowMillis) {
    Item item = items.get(target);
    if (item == null || item.state == State.LEAVING) {
      return;
    }
    if (nowMillis - item.readyMillis >= settings.reportAgeMillis()) {
      item.doubted = true;
      uncertain = true;
      uncertainMillis = nowMillis - settings.reportAgeMillis();
    } else {
      cameLate(item, nowMillis);
      item.state = State.COMING;
      item.readyMillis = Math.max(item.readyMillis, nowMillis + settings.lateMillis());
    }
  }

  private void cameLate(Item item, long nowMillis) {
    if (!item.unproven) {
      return;
    }
    item.unproven = false;
    if (item.warmDepth >= 0) {
      // The runner no longer had it: it comes from the store.
      estimates.warm().cameSlowly(item.warmDepth);
      item.readyMillis = item.orderedMillis + estimates.time().millis();
    } else if (!estimates.limit().late(item.transit, item.orderedMillis, nowMillis)) {
      estimates.time().wasTooShort();
    }
  }

  /** Returns how many adapters are on their way. */
  public int coming() {
    return (int) items.values().stream().filter(item -> item.state == State.COMING).count();
  }

  /** Returns the adapters that serve requests or soon will. */
  public List<HeldItem> held() {
    List<HeldItem> held = new ArrayList<>();
    for (Item item : items.values()) {
      if (item.state != State.LEAVING && !item.doubted) {
        held.add(new HeldItem(item.target, item.version, item.readyMillis));
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
    for (Item item : items.values()) {
      boolean idle = item.state == State.READY && uses.applyAsInt(item.target) == 0;
      taken += idle ? 0 : 1;
    }
    return Math.max(0, engine.maxAdapters() - taken);
  }

  /**
   * Returns how long adapters wait here lately until their load is ordered (ms): for a place, for
   * the store, or for the loads before them.
   */
  public long queueMillis(long nowMillis) {
    long oldest = 0;
    for (Map.Entry<String, Long> demand : demandedMillis.entrySet()) {
      if (!items.containsKey(demand.getKey())) {
        oldest = Math.max(oldest, nowMillis - demand.getValue());
      }
    }
    return oldest == 0 ? 0 : Math.max(oldest, Math.round(queuedMillis));
  }

  /** Returns the number of orders that the runner has accepted; negative if not known. */
  public long sequence() {
    return sequence;
  }

  /** Returns whether the runner's state is known and no order is under way. */
  public boolean isSettled() {
    return !uncertain && outstanding == null;
  }

  private Optional<ModelSpec> spec(String model) {
    return engine.models().stream().filter(spec -> spec.name().equals(model)).findFirst();
  }

  private static Order order(Operation operation, String target, int version) {
    return new Order(operation, Target.model(target), Target.adapter(target), version);
  }
}
