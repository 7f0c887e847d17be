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
import org.sequoiahub.core.dispatch.PlacementSettings;
import org.sequoiahub.core.dispatch.PrefixCacheEstimate;
import org.sequoiahub.core.dispatch.RunnerHealth;
import org.sequoiahub.core.holding.AdapterRelocation;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.holding.ResidentAdapter;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.routing.ServiceSpec;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.runnerstate.RunnerAvailability;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerRegistry;

/**
 * This host's view of the fleet, from which it builds the candidates for the choice of a runner.
 *
 * <p>Its methods must be called on the decision thread.
 */
public final class FleetView {

  /** Wait assumed for an adapter whose load has not been ordered yet (ms). */
  private static final long ADAPTER_LOAD_MILLIS = 250;

  /** Wait assumed for an adapter that the runner evicted recently (ms): a tenth of a load. */
  private static final long ADAPTER_RELOAD_MILLIS = 25;

  /** Wait assumed for an adapter after a runner refused a request for it (ms). */
  private static final long REFUSAL_WAIT_MILLIS = 50;

  /**
   * Age from which on a reported holding is not used (ms): it dates from before this host stood by,
   * and the runner's entry in the store is newer. Holdings are repeated within 4 s.
   */
  private static final long OUTDATED_HOLDING_MILLIS = 8_000;

  /** Wait assumed for a base model (ms): the users' models take 0.6 to 1.9 s to load. */
  private static final long MODEL_LOAD_MILLIS = 2_000;

  /** Fraction of a runner's cache assumed to keep prompts; running requests use the rest. */
  private static final double PROMPT_CACHE_FRACTION = 0.6;

  /** Cache size assumed for a runner whose service has no engine specification (tokens). */
  private static final long DEFAULT_CACHE_TOKENS = 100_000;

  /**
   * Prompt tokens that a runner could read in the time by which one request in flight slows down
   * the others.
   */
  private static final long TOKENS_PER_REQUEST =
      (long)
          (PlacementSettings.DEFAULT.perRequestMillis()
              * PlacementSettings.DEFAULT.readTokensPerMilli());

  private static final List<RunnerEntry> NO_RUNNERS = List.of();

  private final RunnerRegistry runners;
  private final Holdings holdings;
  private final FleetLoad fleetLoad;
  private final String host;
  private final String failureDomain;
  private final BiPredicate<String, Long> isHostAlive;
  private final LongFunction<Integer> hostCount;
  private final ToIntFunction<String> newestVersion;
  private final MissingAdapterListener missingAdapterListener;
  private final RunnerAvailability availability;
  private final RunnerSpeeds speeds;
  private final Map<String, RunnerHealth> health = new HashMap<>();
  private final Map<String, PrefixCacheEstimate> promptMemories = new HashMap<>();
  private final Map<String, Long> pauseMillisByService = new HashMap<>();
  private final Map<String, Long> refusedUntilMillis = new HashMap<>();
  private @Nullable RoutingTable table;

  /** Notified when a runner refused a request for an adapter that it was expected to have. */
  @FunctionalInterface
  public interface MissingAdapterListener {
    /**
     * Handles a refusal.
     *
     * @param runner the runner's id
     * @param target the adapter, as model/adapter
     */
    void adapterMissing(String runner, String target, long nowMillis);
  }

  /**
   * Creates a view.
   *
   * @param host the name of this host
   * @param isHostAlive whether a host is alive at a time
   * @param hostCount the number of hosts that share the retry budget at a time
   * @param newestVersion the newest published version of an adapter; 0 if none was published
   * @param availability decides whether calls may be sent to a runner
   * @param speeds estimates how fast runners work
   */
  public FleetView(
      RunnerRegistry runners,
      Holdings holdings,
      FleetLoad fleetLoad,
      String host,
      String failureDomain,
      BiPredicate<String, Long> isHostAlive,
      LongFunction<Integer> hostCount,
      ToIntFunction<String> newestVersion,
      MissingAdapterListener missingAdapterListener,
      RunnerAvailability availability,
      RunnerSpeeds speeds) {
    this.runners = runners;
    this.holdings = holdings;
    this.fleetLoad = fleetLoad;
    this.host = host;
    this.failureDomain = failureDomain;
    this.isHostAlive = isHostAlive;
    this.hostCount = hostCount;
    this.newestVersion = newestVersion;
    this.missingAdapterListener = missingAdapterListener;
    this.availability = availability;
    this.speeds = speeds;
  }

  /** Applies a configuration. */
  public void table(RoutingTable newTable) {
    table = newTable;
    pauseMillisByService.clear();
    for (Route route : newTable.routes()) {
      if (route.repeatPolicy().isStream() && route.maxEventGapMillis() > 0) {
        route
            .services()
            .forEach(
                target ->
                    pauseMillisByService.merge(
                        target.service(), route.maxEventGapMillis(), Math::min));
      }
    }
  }

  /** Returns the configuration in force; empty until the first one has been applied. */
  public Optional<RoutingTable> table() {
    return Optional.ofNullable(table);
  }

  RunnerSpeeds speeds() {
    return speeds;
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
   * Records that a runner refused a request for an adapter that it was expected to have.
   *
   * <p>The holder's report may be a few milliseconds old: the adapter becomes ready slightly later,
   * or has just been evicted. Until the holder's next report, requests wait instead of being
   * refused again.
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

  /** Records that a prompt was sent to a runner, which is then assumed to keep its parts. */
  void recordSentPrompt(RunnerEntry runner, Generation generation) {
    promptMemory(runner).recordRead(generation);
  }

  /** Returns all runners whose entries exist. */
  List<RunnerEntry> presentRunners() {
    return runners.present();
  }

  /** Returns the load of a runner by which runners are compared for a shortlist (tokens). */
  long load(RunnerEntry runner, long nowMillis) {
    return fleetLoad.unreadTokens(runner.id(), nowMillis)
        + fleetLoad.queuedTokens(runner.id(), nowMillis)
        + fleetLoad.requests(runner.id(), nowMillis) * TOKENS_PER_REQUEST;
  }

  /** Returns the runners of a service that may receive requests. */
  List<RunnerEntry> usableRunners(String service, long nowMillis) {
    List<RunnerEntry> usable = new ArrayList<>();
    for (RunnerEntry runner : runners.usable(nowMillis)) {
      if (runner.service().equals(service) && !availability.isLeaving(runner.id())) {
        usable.add(runner);
      }
    }
    return usable;
  }

  /**
   * Returns the runners of a service that leave, but may still get a request that no other runner
   * can serve in time.
   */
  List<RunnerEntry> lastResortRunners(String service, long nowMillis) {
    List<RunnerEntry> leaving = new ArrayList<>();
    for (RunnerEntry runner : runners.usable(nowMillis)) {
      if (runner.service().equals(service)
          && availability.decide(runner.id(), CallKind.REQUEST, nowMillis)
              instanceof SendDecision.LastResort) {
        leaving.add(runner);
      }
    }
    return leaving;
  }

  /** Returns whether a request that is still held at this host may be sent to a runner. */
  boolean isOpen(RunnerEntry runner, long nowMillis) {
    SendDecision decision = availability.decide(runner.id(), CallKind.REQUEST, nowMillis);
    return decision instanceof SendDecision.Now || decision instanceof SendDecision.LastResort;
  }

  /**
   * Returns the demand for the adapters that are in use at leaving runners which this host ordered,
   * by the id of the runner at which each is to be loaded instead.
   */
  Map<String, List<Demand>> relocations(long nowMillis) {
    Map<String, List<Demand>> relocations = new HashMap<>();
    for (RunnerEntry runner :
        availability.isAnyLeaving() ? runners.usable(nowMillis) : NO_RUNNERS) {
      Optional<Holdings.Holding> ordered =
          holdings.find(runner.id()).filter(holding -> holding.host().equals(host));
      if (ordered.isPresent() && availability.isLeaving(runner.id())) {
        List<String> inUse =
            ordered.get().adapters().keySet().stream()
                .filter(target -> fleetLoad.uses(runner.id(), target, nowMillis) > 0)
                .toList();
        AdapterRelocation.demands(inUse, usableRunners(runner.service(), nowMillis), holdings)
            .forEach(
                (id, demands) ->
                    relocations.computeIfAbsent(id, key -> new ArrayList<>()).addAll(demands));
      }
    }
    return relocations;
  }

  /** Returns a service of the configuration in force. */
  public Optional<ServiceSpec> serviceSpec(String service) {
    return table().flatMap(t -> t.service(service));
  }

  /** Returns the engine specification of a service's runners; empty for a plain service. */
  Optional<EngineSpec> engineSpec(String service) {
    return serviceSpec(service).map(spec -> spec.engine());
  }

  /**
   * Returns the longest pause between two events that all callers of a service's streams accept
   * (ms); 0 if no route states one.
   */
  long pauseMillis(String service) {
    return pauseMillisByService.getOrDefault(service, 0L);
  }

  /**
   * Returns the usable runners that hold models and may get orders, with the engine specification
   * of each.
   */
  public Map<RunnerEntry, EngineSpec> engineSpecs(long nowMillis) {
    // By identity, as hashing a RunnerEntry covers all its fields.
    Map<RunnerEntry, EngineSpec> engines = new IdentityHashMap<>();
    RoutingTable currentTable = table;
    if (currentTable != null) {
      for (RunnerEntry runner : runners.usable(nowMillis)) {
        if (availability.isLeaving(runner.id())) {
          continue;
        }
        currentTable
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
   * @param countedTokens prompt tokens of the request that are already counted at the runner;
   *     negative if it is not counted there
   * @param call the request
   * @param adapterUses number of requests, at all runners, that use the generation's adapter or
   *     wait for it
   */
  Candidate candidate(
      RunnerEntry runner,
      @Nullable Generation generation,
      int countedTokens,
      Call call,
      int adapterUses,
      long nowMillis) {
    boolean counted = countedTokens >= 0;
    int inFlight = fleetLoad.requests(runner.id(), nowMillis) - (counted ? 1 : 0);
    long heldTokens = fleetLoad.queuedTokens(runner.id(), nowMillis) - Math.max(0, countedTokens);
    RunnerHealth runnerHealth = health(runner);
    Residency residency = residency(runner, generation, nowMillis);
    return new Candidate(
        runner,
        Math.max(0, inFlight),
        fleetLoad.unreadTokens(runner.id(), nowMillis),
        Math.max(0, heldTokens),
        generation == null ? 0 : promptMemory(runner).unreadTokens(generation),
        residency.waitMillis,
        sendDecision(runner, residency, call, nowMillis),
        residency.kept,
        adapterUses,
        residency.present,
        residency.room,
        residency.ordered,
        runnerHealth.failureRate(nowMillis),
        runnerHealth.latencyMillis(),
        runners.hasVanished(runner.instance()),
        runner.failureDomain().equals(failureDomain),
        speeds.speed(runner, nowMillis));
  }

  /**
   * Returns whether a request may be sent to a runner; an adapter's load, and its room if there is
   * none, take a permit each.
   */
  private SendDecision sendDecision(
      RunnerEntry runner, Residency residency, Call call, long nowMillis) {
    int permits = 1 + (residency.present ? 0 : 1) + (residency.room ? 0 : 1);
    return availability.decideRequest(
        runner.id(), call, call.permitPriority(nowMillis), permits, nowMillis);
  }

  /**
   * Returns whether a generation's adapter is loaded at a runner or in transit to it, according to
   * the latest report.
   *
   * <p>This is cheaper than {@link #candidate}, which also determines the adapter's version and
   * when it becomes ready.
   */
  boolean isAdapterKnownAt(RunnerEntry runner, Generation generation) {
    String target = generation.target();
    return holdings
        .find(runner.id())
        .map(holding -> holding.adapters().containsKey(target))
        .orElseGet(() -> runner.heldAdapters().containsKey(target));
  }

  /**
   * Returns a number that changes whenever a runner's holding, or the host that orders it, does.
   */
  long holdingRevision(RunnerEntry runner) {
    return holdings.changeCount(runner.id());
  }

  /** Returns the number of requests at all runners that use or wait for a generation's adapter. */
  int adapterUses(@Nullable Generation generation, long nowMillis) {
    return generation == null || !generation.usesAdapter()
        ? 0
        : fleetLoad.totalUses(generation.target(), nowMillis);
  }

  /** Whether a runner has the model and adapter of a generation, and when they are ready. */
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
    Optional<Holdings.Holding> reported =
        holdings
            .find(runner.id())
            .filter(holding -> nowMillis - holding.reportedMillis() < OUTDATED_HOLDING_MILLIS);
    if (reported.isEmpty()) {
      boolean hasModel = runner.heldModels().contains(generation.model());
      boolean hasAdapter =
          !generation.usesAdapter() || runner.heldAdapters().containsKey(generation.target());
      boolean present = hasModel && hasAdapter;
      long wait = present ? 0 : hasModel ? ADAPTER_LOAD_MILLIS : MODEL_LOAD_MILLIS;
      return present ? Residency.present(0, false) : Residency.absent(wait, true, false);
    }
    Holdings.Holding holding = reported.get();
    final long queueMillis =
        holding.queueMillis() + Math.max(0, holding.mayOrderFromMillis() - nowMillis);
    boolean ordered = isHostAlive.test(holding.host(), nowMillis);
    if (!holding.models().contains(generation.model())) {
      return Residency.absent(MODEL_LOAD_MILLIS, true, ordered);
    }
    if (!generation.usesAdapter()) {
      return Residency.present(0, ordered);
    }
    ResidentAdapter item = holding.adapters().get(generation.target());
    int newest = newestVersion(generation.target());
    if (item != null && item.version() >= newest) {
      long transitMillis = Math.max(0, item.readyMillis() - nowMillis);
      long refusalMillis = refusalWaitMillis(runner, generation.target(), nowMillis);
      return Residency.present(Math.max(transitMillis, refusalMillis), ordered);
    }
    boolean room = holding.freePlaces() > 0;
    if (item == null && holdings.isWarm(runner.id(), generation.target())) {
      return new Residency(false, queueMillis + ADAPTER_RELOAD_MILLIS, true, room, ordered);
    }
    long loadMillis = Math.max(ADAPTER_LOAD_MILLIS, holding.loadMillis());
    return Residency.absent(queueMillis + loadMillis, room, ordered);
  }

  private PrefixCacheEstimate promptMemory(RunnerEntry runner) {
    return promptMemories.computeIfAbsent(
        runner.id(),
        id -> {
          long tokens =
              engineSpec(runner.service())
                  .map(EngineSpec::cacheTokens)
                  .orElse(DEFAULT_CACHE_TOKENS);
          return new PrefixCacheEstimate(Math.max(1, (long) (tokens * PROMPT_CACHE_FRACTION)));
        });
  }

  /** Removes the state of runners that are gone and of refusals that have expired. */
  public void removeStaleEntries(long nowMillis) {
    Set<String> known = runners.incarnationKeys();
    health.keySet().retainAll(known);
    promptMemories.keySet().retainAll(known);
    refusedUntilMillis.values().removeIf(until -> until < nowMillis);
    holdings.retain(known);
  }
}
