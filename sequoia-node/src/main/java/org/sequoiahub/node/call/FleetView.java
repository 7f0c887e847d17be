package org.sequoiahub.node.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.LongFunction;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.dispatch.PromptMemory;
import org.sequoiahub.core.dispatch.RunnerHealth;
import org.sequoiahub.core.holding.HeldItem;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerRegistry;

/** All that this host believes of the fleet, for the choice of a runner; decision thread only. */
public final class FleetView {

  /** Wait assumed for an adapter that nobody has ordered yet (ms). */
  private static final long ADAPTER_LOAD_MILLIS = 250;

  /** Wait assumed for an adapter that the runner dropped lately (ms): a tenth of a load. */
  private static final long ADAPTER_RELOAD_MILLIS = 25;

  /** Wait after a refusal for an adapter (ms). */
  private static final long REFUSAL_WAIT_MILLIS = 50;

  /** Wait assumed for a base model (ms): the users' models take 0.6 to 1.9 s. */
  private static final long MODEL_LOAD_MILLIS = 2_000;

  /** Part of a runner's memory that is believed to keep prompts; running requests use the rest. */
  private static final double PROMPT_CACHE_FRACTION = 0.6;

  private static final long DEFAULT_CACHE_TOKENS = 100_000;

  private final RunnerRegistry runners;
  private final Holdings holdings;
  private final FleetLoad fleetLoad;
  private final String failureDomain;
  private final BiPredicate<String, Long> isHostAlive;
  private final LongFunction<Integer> hostCount;
  private final ToIntFunction<String> newestVersion;
  private final MissingAdapterListener missingAdapterListener;
  private final Map<String, RunnerHealth> health = new HashMap<>();
  private final Map<String, PromptMemory> promptMemories = new HashMap<>();
  private final Map<String, Long> pauseMillisByService = new HashMap<>();
  private final Map<String, Long> refusedUntilMillis = new HashMap<>();
  private @Nullable RoutingTable table;

  /** Told that a runner refused a request for an adapter that it should have. */
  @FunctionalInterface
  public interface MissingAdapterListener {
    /** Receives the runner's id, the adapter and the present time. */
    void adapterMissing(String runner, String target, long nowMillis);
  }

  /**
   * Creates a view.
   *
   * @param isSound whether a host is alive at a time
   * @param hosts how many hosts share the retry budget at a time
   * @param newestVersion the newest published version of an adapter; 0 if none was published
   */
  public FleetView(
      RunnerRegistry book,
      Holdings holdings,
      FleetLoad loads,
      String failureDomain,
      BiPredicate<String, Long> isSound,
      LongFunction<Integer> hosts,
      ToIntFunction<String> newestVersion,
      MissingAdapterListener missing) {
    this.runners = book;
    this.holdings = holdings;
    this.fleetLoad = loads;
    this.failureDomain = failureDomain;
    this.isHostAlive = isSound;
    this.hostCount = hosts;
    this.newestVersion = newestVersion;
    this.missingAdapterListener = missing;
  }

  /** Puts a configuration in force. */
  public void table(RoutingTable now) {
    table = now;
    pauseMillisByService.clear();
    for (Route route : now.routes()) {
      if (route.repetition().isStream() && route.pauseMillis() > 0) {
        route.services().forEach(to -> pauseMillisByService.merge(to.service(), route.pauseMillis(), Math::min));
      }
    }
  }

  /** Returns the configuration in force. */
  public Optional<RoutingTable> table() {
    return Optional.ofNullable(table);
  }

  FleetLoad fleetLoad() {
    return fleetLoad;
  }

  int hostCount(long nowMillis) {
    return hostCount.apply(nowMillis);
  }

  int newestVersion(String target) {
    return target.isEmpty() ? 0 : newestVersion.applyAsInt(target);
  }

  /**
   * Records that a runner refused a request for an adapter that it should have.
   *
   * <p>What its holder told may be a few ms old: the adapter comes a little later, or has just been
   * dropped. Until the holder's next word, requests wait instead of being refused again.
   */
  void recordRefusal(RunnerEntry runner, String target, long nowMillis) {
    refusedUntilMillis.put(runner.id() + " " + target, nowMillis + REFUSAL_WAIT_MILLIS);
    missingAdapterListener.adapterMissing(runner.id(), target, nowMillis);
  }

  private long refusalWaitMillis(RunnerEntry runner, String target, long nowMillis) {
    Long until = refusedUntilMillis.get(runner.id() + " " + target);
    return until == null ? 0 : Math.max(0, until - nowMillis);
  }

  RunnerHealth health(RunnerEntry runner) {
    return health.computeIfAbsent(runner.id(), id -> new RunnerHealth());
  }

  void recordSentPrompt(RunnerEntry runner, Generation generation) {
    promptMemory(runner).read(generation);
  }

  /** Returns the runners of a service that may get requests. */
  List<RunnerEntry> usableRunners(String service, long nowMillis) {
    List<RunnerEntry> usable = new ArrayList<>();
    for (RunnerEntry runner : runners.usable(nowMillis)) {
      if (runner.service().equals(service)) {
        usable.add(runner);
      }
    }
    return usable;
  }

  /** Returns what the runners of a service are; empty for a plain service. */
  Optional<EngineSpec> engineSpec(String service) {
    return table().flatMap(t -> t.service(service)).map(s -> s.engine());
  }

  /** Returns the longest pause that callers of a service's streams accept (ms); 0 for none. */
  long pauseMillis(String service) {
    return pauseMillisByService.getOrDefault(service, 0L);
  }

  /** Returns the runners that hold models, with what their service says of them. */
  public Map<RunnerEntry, EngineSpec> engineSpecs(long nowMillis) {
    // By identity: the hash of an entry goes over all that it says.
    Map<RunnerEntry, EngineSpec> engines = new IdentityHashMap<>();
    RoutingTable present = table;
    if (present != null) {
      for (RunnerEntry runner : runners.usable(nowMillis)) {
        present
            .service(runner.service())
            .map(service -> service.engine())
            .ifPresent(engine -> engines.put(runner, engine));
      }
    }
    return engines;
  }

  /**
   * Returns a runner as a candidate for a request.
   *
   * @param countedTokens prompt tokens with which the request is counted there already; negative if
   *     it is not
   * @param adapterUses requests that use the generation's adapter or wait for it, at all runners
   */
  Candidate candidate(
      RunnerEntry runner,
      @Nullable Generation generation,
      int countedTokens,
      int adapterUses,
      long nowMillis) {
    boolean counted = countedTokens >= 0;
    int inFlight = fleetLoad.requests(runner.id(), nowMillis) - (counted ? 1 : 0);
    long held = fleetLoad.heldTokens(runner.id(), nowMillis) - Math.max(0, countedTokens);
    RunnerHealth results = health(runner);
    Residency residency = residency(runner, generation, nowMillis);
    return new Candidate(
        runner,
        Math.max(0, inFlight),
        fleetLoad.unreadTokens(runner.id(), nowMillis),
        Math.max(0, held),
        generation == null ? 0 : promptMemory(runner).unreadTokens(generation),
        residency.waitMillis,
        residency.kept,
        adapterUses,
        residency.present,
        residency.room,
        residency.ordered,
        results.failureRate(nowMillis),
        results.latencyMillis(),
        runners.vanished(runner.instance()),
        runner.failureDomain().equals(failureDomain));
  }

  /**
   * Returns whether a generation's adapter is at a runner or on its way there, by what was told
   * last; cheaper than {@link #candidate}, which knows its version and when it comes too.
   */
  boolean isAdapterKnownAt(RunnerEntry runner, Generation generation) {
    String target = generation.target();
    return holdings
        .find(runner.id())
        .map(holding -> holding.items().containsKey(target))
        .orElseGet(() -> runner.heldAdapters().containsKey(target));
  }

  /** Returns a number that differs whenever what a runner holds has changed. */
  long holdingRevision(RunnerEntry runner) {
    return holdings.changes(runner.id());
  }

  /** Returns how many requests use a generation's adapter or wait for it, at all runners. */
  int adapterUses(@Nullable Generation generation, long nowMillis) {
    return generation == null || !generation.usesAdapter()
        ? 0
        : fleetLoad.usesEverywhere(generation.target(), nowMillis);
  }

  private record Residency(
      boolean present, long waitMillis, boolean kept, boolean room, boolean ordered) {

    static Residency present(long waitMillis, boolean ordered) {
      return new Residency(true, waitMillis, false, true, ordered);
    }

    static Residency absent(long waitMillis, boolean room, boolean ordered) {
      return new Residency(false, waitMillis, false, room, ordered);
    }
  }

  private Residency residency(RunnerEntry runner, @Nullable Generation generation, long nowMillis) {
    if (generation == null) {
      return Residency.present(0, true);
    }
    Optional<Holdings.Holding> told = holdings.find(runner.id());
    if (told.isEmpty()) {
      boolean model = runner.heldModels().contains(generation.model());
      boolean adapter =
          !generation.usesAdapter() || runner.heldAdapters().containsKey(generation.target());
      boolean present = model && adapter;
      long wait = present ? 0 : model ? ADAPTER_LOAD_MILLIS : MODEL_LOAD_MILLIS;
      return present ? Residency.present(0, false) : Residency.absent(wait, true, false);
    }
    Holdings.Holding holding = told.get();
    final long queue = holding.queueMillis() + Math.max(0, holding.ordersFromMillis() - nowMillis);
    boolean ordered = isHostAlive.test(holding.host(), nowMillis);
    if (!holding.models().contains(generation.model())) {
      return Residency.absent(MODEL_LOAD_MILLIS, true, ordered);
    }
    if (!generation.usesAdapter()) {
      return Residency.present(0, ordered);
    }
    HeldItem item = holding.items().get(generation.target());
    int wanted = newestVersion(generation.target());
    if (item != null && item.version() >= wanted) {
      long coming = Math.max(0, item.readyMillis() - nowMillis);
      long refused = refusalWaitMillis(runner, generation.target(), nowMillis);
      return Residency.present(Math.max(coming, refused), ordered);
    }
    boolean room = holding.freePlaces() > 0;
    if (item == null && holdings.isKept(runner.id(), generation.target())) {
      return new Residency(false, queue + ADAPTER_RELOAD_MILLIS, true, room, ordered);
    }
    long bring = Math.max(ADAPTER_LOAD_MILLIS, holding.bringMillis());
    return Residency.absent(queue + bring, room, ordered);
  }

  private PromptMemory promptMemory(RunnerEntry runner) {
    return promptMemories.computeIfAbsent(
        runner.id(),
        id -> {
          long tokens =
              engineSpec(runner.service()).map(EngineSpec::cacheTokens).orElse(DEFAULT_CACHE_TOKENS);
          return new PromptMemory(Math.max(1, (long) (tokens * PROMPT_CACHE_FRACTION)));
        });
  }

  /** Forgets runners that are gone and refusals that no longer matter. */
  public void removeStaleEntries(long nowMillis) {
    Set<String> known = runners.incarnations();
    health.keySet().retainAll(known);
    promptMemories.keySet().retainAll(known);
    refusedUntilMillis.values().removeIf(until -> until < nowMillis);
    holdings.retain(known);
  }
}
