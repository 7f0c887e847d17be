package org.sequoiahub.cli.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.sequoiahub.cli.bench.Deployment.Pool;
import org.sequoiahub.cli.bench.Trace.Arrival;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.fleet.Fleet.State;
import org.sequoiahub.core.load.LoadTurns;
import org.sequoiahub.core.placement.Placement;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.route.ActivePool;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.route.RunnerChooser;
import org.sequoiahub.core.route.RunnerHints;
import org.sequoiahub.core.runner.Admission;
import org.sequoiahub.core.runner.EngineReport;
import org.sequoiahub.core.runner.OrderResult;
import org.sequoiahub.core.runner.RunnerAction;
import org.sequoiahub.core.runner.RunnerController;
import org.sequoiahub.core.runner.RunnerRequest;

/**
 * Simulates one policy on one trace in virtual time: entries choose runners and runner controllers
 * admit requests and load adapters, by the production decision code.
 */
final class PolicySimulation {

  /** Number of simulated entries; each learns only from its own requests. */
  private static final int ENTRY_COUNT = 8;

  private static final long HOP_MILLIS = 1;
  private static final long UNLOAD_MILLIS = 20;
  private static final long TICK_MILLIS = 50;
  private static final long DEADLINE_MILLIS = 120_000;
  private static final long BROWNOUT_START_MILLIS = 360_000;
  private static final long BROWNOUT_END_MILLIS = 480_000;
  private static final double BROWNOUT_SLOWDOWN_FACTOR = 3;

  /** Authority over a runner that no other dispatcher has ever used. */
  private static final Rights SOLE_OWNER = new Rights(true, 1, Long.MIN_VALUE / 2);

  private static final String[] DOMAINS = {"d1", "d2", "d3", "d4"};

  private final Deployment deployment;
  private final Variant variant;
  private final Trace.Kind kind;
  private final SplittableRandom random;
  private final PolicyFigures figures = new PolicyFigures();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private final Map<String, SimulatedRunner> runners = new LinkedHashMap<>();
  private final Map<String, List<Runner>> pools = new HashMap<>();
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
  private final List<RunnerHints> hints = new ArrayList<>();
  private final Map<String, ActivePool> activePools = new HashMap<>();
  private final RouteSettings routing;
  private final RunnerChooser chooser;
  private final LoadTurns<TurnKey> turns;
  private long sequence;
  private long nowMillis;
  private long utilizationRecordedUntilMillis;

  PolicySimulation(Deployment deployment, Variant variant, Trace.Kind kind, long seed) {
    this.deployment = deployment;
    this.variant = variant;
    this.kind = kind;
    this.random = new SplittableRandom(seed + 1);
    this.routing = variant.routing(deployment.routing());
    this.chooser = new RunnerChooser(routing);
    this.turns = new LoadTurns<>(deployment.loadsPerSecond(), 1, 60_000);
    for (int i = 0; i < ENTRY_COUNT; i++) {
      hints.add(new RunnerHints());
    }
    deployment.pools().forEach(this::addPool);
  }

  /** Simulates the trace to its end and returns the figures from after the warm-up. */
  PolicyFigures run(List<Arrival> arrivals) {
    arrivals.forEach(arrival -> schedule(arrival.atMillis(), () -> handleArrival(arrival)));
    for (long t = 0; t < Trace.DURATION_MILLIS; t += TICK_MILLIS) {
      schedule(t, this::tick);
    }
    if (kind == Trace.Kind.BROWNOUT) {
      schedule(BROWNOUT_START_MILLIS, () -> coldRestart(runners.values().iterator().next()));
    }
    for (Event event = events.poll();
        event != null && event.atMillis <= Trace.DURATION_MILLIS;
        event = events.poll()) {
      recordUtilization(event.atMillis);
      nowMillis = event.atMillis;
      event.work.run();
    }
    return figures;
  }

  private void addPool(Pool pool) {
    List<Runner> list = new ArrayList<>();
    for (int i = 0; i < pool.runners(); i++) {
      Runner runner =
          new Runner(
              pool.baseModel() + "-runner-" + i,
              "-",
              DOMAINS[i % DOMAINS.length],
              State.LIVE,
              pool.baseModel(),
              Deployment.SLOTS,
              Deployment.BATCH,
              true);
      list.add(runner);
      runners.put(
          runner.id(),
          new SimulatedRunner(
              runner,
              new RunnerController(
                  Deployment.SLOTS, Deployment.BATCH, variant.policy(deployment.policy()))));
    }
    pools.put(pool.baseModel(), list);
  }

  private void handleArrival(Arrival arrival) {
    int entry = random.nextInt(ENTRY_COUNT);
    offerRequest(new PendingRequest(arrival, entry, nowMillis), new HashSet<>());
  }

  /** Sends a request to a runner, and to another each time that one refuses it. */
  private void offerRequest(PendingRequest request, Set<String> excluded) {
    Optional<Runner> chosen = chooseRunner(request, excluded);
    if (chosen.isEmpty()) {
      if (request.arrivedMillis >= Trace.WARM_UP_MILLIS) {
        figures.recordRefused();
      }
      return;
    }
    Runner runner = chosen.get();
    RunnerHints entryHints = hints.get(request.entry);
    entryHints.requestSent(runner.id());
    schedule(
        nowMillis + HOP_MILLIS,
        () -> {
          SimulatedRunner target = requireRunner(runner.id());
          String id = "r" + ++sequence;
          AdapterVersion adapter = request.arrival.adapter();
          Admission admission =
              target.controller.offer(
                  new RunnerRequest(
                      id, adapter, request.arrival.pool().priority(), nowMillis + DEADLINE_MILLIS),
                  nowMillis);
          if (admission instanceof Admission.Admitted admitted) {
            pendingRequests.put(id, request);
            long wait = admitted.expectedWaitMillis();
            boolean resident = admitted.resident();
            schedule(
                nowMillis + HOP_MILLIS,
                () -> entryHints.update(runner.id(), adapter, wait, resident, nowMillis));
            applyDecisions(target);
          } else {
            entryHints.requestEnded(runner.id());
            excluded.add(runner.id());
            offerRequest(request, excluded);
          }
        });
  }

  private Optional<Runner> chooseRunner(PendingRequest request, Set<String> excluded) {
    Pool pool = request.arrival.pool();
    List<Runner> all = pools.getOrDefault(pool.baseModel(), List.of());
    AdapterVersion adapter = request.arrival.adapter();
    return switch (variant.routing()) {
      case RANDOM ->
          excluded.size() > 2 ? Optional.empty() : Optional.of(all.get(random.nextInt(all.size())));
      case FIRST_CANDIDATE ->
          Placement.candidates(adapter, all, 3).stream()
              .filter(runner -> !excluded.contains(runner.id()))
              .findFirst();
      case CHEAPEST ->
          chooser.choose(
              adapter,
              Placement.candidates(adapter, activeRunners(request, all), routing.candidateCount()),
              excluded,
              hints.get(request.entry),
              nowMillis);
    };
  }

  private List<Runner> activeRunners(PendingRequest request, List<Runner> all) {
    RunnerHints entryHints = hints.get(request.entry);
    int inFlight = entryHints.inFlight(all);
    String baseModel = request.arrival.pool().baseModel();
    return activePools
        .computeIfAbsent(request.entry + baseModel, k -> new ActivePool(routing.minActiveShare()))
        .select(baseModel, all, (double) inFlight * ENTRY_COUNT, nowMillis);
  }

  private void applyDecisions(SimulatedRunner runner) {
    for (RunnerAction action : runner.controller.decide(SOLE_OWNER, nowMillis)) {
      perform(runner, action);
    }
  }

  private void perform(SimulatedRunner runner, RunnerAction action) {
    if (action instanceof RunnerAction.Start start) {
      startRequest(runner, start.request());
    } else if (action instanceof RunnerAction.Reject refuse) {
      PendingRequest refused = pendingRequests.remove(refuse.request().id());
      if (refused != null && refused.arrivedMillis >= Trace.WARM_UP_MILLIS) {
        figures.recordRefused();
      }
    } else if (action instanceof RunnerAction.RequestLoadTurn ask) {
      TurnKey key = new TurnKey(runner.runner.id(), ask.adapter());
      turns.request(key, ask.waiting(), ask.interactive(), nowMillis);
      grantTurns();
    } else if (action instanceof RunnerAction.ReleaseLoadTurn returned) {
      turns.release(new TurnKey(runner.runner.id(), returned.adapter()));
      grantTurns();
    } else if (action instanceof RunnerAction.Load load) {
      startLoad(runner, load.adapter());
    } else if (action instanceof RunnerAction.Unload unload) {
      if (!runner.used.remove(unload.adapter()) && nowMillis >= Trace.WARM_UP_MILLIS) {
        figures.recordWastedLoad();
      }
      schedule(
          nowMillis + UNLOAD_MILLIS,
          () -> {
            runner.controller.unloadAnswered(unload.adapter(), OrderResult.DONE, nowMillis);
            runner.readySinceMillis.remove(unload.adapter());
            applyDecisions(runner);
          });
    }
  }

  private void startRequest(SimulatedRunner runner, RunnerRequest request) {
    PendingRequest pending = pendingRequests.get(request.id());
    if (pending == null) {
      return;
    }
    AdapterVersion adapter = request.adapter();
    runner.used.add(adapter);
    runner.running.put(request.id(), adapter);
    if (pending.arrivedMillis >= Trace.WARM_UP_MILLIS) {
      long wait = nowMillis - pending.arrivedMillis;
      long ready = runner.readySinceMillis.getOrDefault(adapter, nowMillis);
      long stall = Math.max(0, Math.min(wait, ready - pending.arrivedMillis));
      figures.recordStarted(request.priority(), wait, stall);
    }
    long restarts = runner.restartCount;
    schedule(
        nowMillis + pending.arrival.serviceMillis(),
        () -> {
          if (runner.restartCount == restarts) {
            endRequest(runner, request.id());
            applyDecisions(runner);
          }
        });
  }

  private void endRequest(SimulatedRunner runner, String id) {
    runner.running.remove(id);
    runner.controller.requestEnded(id, nowMillis);
    PendingRequest pending = pendingRequests.remove(id);
    if (pending != null) {
      RunnerHints entryHints = hints.get(pending.entry);
      AdapterVersion adapter = pending.arrival.adapter();
      long wait = runner.controller.expectedWaitMillis(adapter, nowMillis);
      schedule(
          nowMillis + HOP_MILLIS,
          () -> {
            entryHints.requestEnded(runner.runner.id());
            entryHints.update(runner.runner.id(), adapter, wait, true, nowMillis);
          });
    }
  }

  private void startLoad(SimulatedRunner runner, AdapterVersion adapter) {
    if (nowMillis >= Trace.WARM_UP_MILLIS) {
      figures.recordLoad();
    }
    boolean brownout =
        kind == Trace.Kind.BROWNOUT
            && nowMillis >= BROWNOUT_START_MILLIS
            && nowMillis < BROWNOUT_END_MILLIS;
    double loadMillis = 1_000.0 / deployment.loadsPerSecond();
    long restarts = runner.restartCount;
    schedule(
        nowMillis + Math.round(loadMillis * (brownout ? BROWNOUT_SLOWDOWN_FACTOR : 1)),
        () -> {
          boolean loaded = runner.restartCount == restarts;
          if (loaded) {
            runner.readySinceMillis.put(adapter, nowMillis);
          }
          runner.controller.loadAnswered(
              adapter, loaded ? OrderResult.DONE : OrderResult.FAILED, nowMillis);
          applyDecisions(runner);
        });
  }

  /**
   * Restarts an engine without its adapters: it reports empty slots, and its running requests are
   * offered again.
   */
  private void coldRestart(SimulatedRunner runner) {
    runner.restartCount++;
    List<PendingRequest> restarted = new ArrayList<>();
    for (String id : List.copyOf(runner.running.keySet())) {
      PendingRequest pending = pendingRequests.get(id);
      endRequest(runner, id);
      if (pending != null) {
        restarted.add(new PendingRequest(pending.arrival, pending.entry, nowMillis));
      }
    }
    runner.readySinceMillis.clear();
    schedule(
        nowMillis + 1,
        () -> {
          runner.controller.applyReport(
              new EngineReport(nowMillis, Set.of(), Set.of(), Map.of()), SOLE_OWNER, nowMillis);
          applyDecisions(runner);
          restarted.forEach(request -> offerRequest(request, new HashSet<>()));
        });
  }

  private void tick() {
    grantTurns();
    runners.values().forEach(this::applyDecisions);
  }

  private void grantTurns() {
    for (TurnKey key : turns.grant(nowMillis)) {
      SimulatedRunner runner = requireRunner(key.runner);
      runner.controller.loadTurnGranted(key.adapter);
      schedule(nowMillis, () -> applyDecisions(runner));
    }
  }

  private SimulatedRunner requireRunner(String id) {
    SimulatedRunner runner = runners.get(id);
    if (runner == null) {
      throw new IllegalArgumentException("id must name a runner, was '" + id + "'");
    }
    return runner;
  }

  /** Adds the utilization of all pools from the last call to {@code untilMillis} to the figures. */
  private void recordUtilization(long untilMillis) {
    long fromMillis = Math.max(utilizationRecordedUntilMillis, Trace.WARM_UP_MILLIS);
    utilizationRecordedUntilMillis = untilMillis;
    if (untilMillis <= fromMillis) {
      return;
    }
    for (List<Runner> pool : pools.values()) {
      int running = 0;
      int busyRunners = 0;
      Set<AdapterVersion> distinct = new HashSet<>();
      for (Runner listed : pool) {
        SimulatedRunner runner = requireRunner(listed.id());
        running += runner.running.size();
        busyRunners += runner.running.isEmpty() ? 0 : 1;
        distinct.addAll(runner.running.values());
      }
      int leastRunners =
          Math.max(ceilDiv(running, Deployment.BATCH), ceilDiv(distinct.size(), Deployment.SLOTS));
      figures.recordUtilization(
          untilMillis - fromMillis,
          running,
          busyRunners * Deployment.BATCH,
          leastRunners * Deployment.BATCH);
    }
  }

  private static int ceilDiv(int value, int by) {
    return (value + by - 1) / by;
  }

  private void schedule(long millis, Runnable work) {
    events.add(new Event(millis, ++sequence, work));
  }

  private record Event(long atMillis, long sequence, Runnable work) {}

  private record TurnKey(String runner, AdapterVersion adapter) {}

  private record PendingRequest(Arrival arrival, int entry, long arrivedMillis) {}

  private static final class SimulatedRunner {
    private final Runner runner;
    private final RunnerController controller;
    private final Map<String, AdapterVersion> running = new HashMap<>();
    private final Map<AdapterVersion, Long> readySinceMillis = new HashMap<>();
    private final Set<AdapterVersion> used = new HashSet<>();
    private long restartCount;

    SimulatedRunner(Runner runner, RunnerController controller) {
      this.runner = runner;
      this.controller = controller;
    }
  }
}
