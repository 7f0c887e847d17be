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

/** Runs one policy over one trace in virtual time. */
final class PolicySimulation {

  private static final int ENTRY_COUNT = 8;
  private static final long HOP_MILLIS = 1;
  private static final long UNLOAD_MILLIS = 20;
  private static final long TICK_MILLIS = 50;
  private static final long DEADLINE_MILLIS = 120_000;
  private static final long BROWNOUT_START_MILLIS = 360_000;
  private static final long BROWNOUT_END_MILLIS = 480_000;
  private static final double BROWNOUT_SLOWDOWN_FACTOR = 3;
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

  private void offerRequest(PendingRequest request, Set<String> excluded) {
    Optional<Runner> chosen = chooseRunner(request, excluded);
    if (chosen.isEmpty()) {
      if (request.arrivedMillis >= Trace.WARM_UP_MILLIS) {
        figures.recordRefused();
      }
      return;
    }
    Runner runner = chosen.get();
    RunnerHints own = hints.get(request.entry);
    own.sent(runner.id());
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
                () -> own.heard(runner.id(), adapter, wait, resident, nowMillis));
            applyDecisions(target);
          } else {
            own.ended(runner.id());
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
              Placement.candidates(adapter, activeRunners(request, all), routing.candidates()),
              excluded,
              hints.get(request.entry),
              nowMillis);
    };
  }

  private List<Runner> activeRunners(PendingRequest request, List<Runner> all) {
    RunnerHints own = hints.get(request.entry);
    int here = own.inFlight(all);
    String baseModel = request.arrival.pool().baseModel();
    return activePools
        .computeIfAbsent(request.entry + baseModel, k -> new ActivePool(routing.leastShare()))
        .active(baseModel, all, (double) here * ENTRY_COUNT, nowMillis);
  }

  private void applyDecisions(SimulatedRunner runner) {
    for (RunnerAction action : runner.controller.decide(SOLE_OWNER, nowMillis)) {
      perform(runner, action);
    }
  }

  private void perform(SimulatedRunner runner, RunnerAction action) {
    if (action instanceof RunnerAction.Start start) {
      startRequest(runner, start.request());
    } else if (action instanceof RunnerAction.Refuse refuse) {
      PendingRequest gone = pendingRequests.remove(refuse.request().id());
      if (gone != null && gone.arrivedMillis >= Trace.WARM_UP_MILLIS) {
        figures.recordRefused();
      }
    } else if (action instanceof RunnerAction.AskTurn ask) {
      TurnKey key = new TurnKey(runner.runner.id(), ask.adapter());
      turns.ask(key, ask.waiting(), ask.interactive(), nowMillis);
      grantTurns();
    } else if (action instanceof RunnerAction.ReturnTurn back) {
      turns.done(new TurnKey(runner.runner.id(), back.adapter()));
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
    PendingRequest begun = pendingRequests.get(request.id());
    if (begun == null) {
      return;
    }
    AdapterVersion adapter = request.adapter();
    runner.used.add(adapter);
    runner.running.put(request.id(), adapter);
    if (begun.arrivedMillis >= Trace.WARM_UP_MILLIS) {
      long wait = nowMillis - begun.arrivedMillis;
      long ready = runner.readySinceMillis.getOrDefault(adapter, nowMillis);
      long stall = Math.max(0, Math.min(wait, ready - begun.arrivedMillis));
      figures.recordStarted(request.priority(), wait, stall);
    }
    long restarts = runner.restartCount;
    schedule(
        nowMillis + begun.arrival.serviceMillis(),
        () -> {
          if (runner.restartCount == restarts) {
            endRequest(runner, request.id());
            applyDecisions(runner);
          }
        });
  }

  private void endRequest(SimulatedRunner runner, String id) {
    runner.running.remove(id);
    runner.controller.ended(id, nowMillis);
    PendingRequest ended = pendingRequests.remove(id);
    if (ended != null) {
      RunnerHints own = hints.get(ended.entry);
      AdapterVersion adapter = ended.arrival.adapter();
      long wait = runner.controller.expectedWaitMillis(adapter, nowMillis);
      schedule(
          nowMillis + HOP_MILLIS,
          () -> {
            own.ended(runner.runner.id());
            own.heard(runner.runner.id(), adapter, wait, true, nowMillis);
          });
    }
  }

  private void startLoad(SimulatedRunner runner, AdapterVersion adapter) {
    if (nowMillis >= Trace.WARM_UP_MILLIS) {
      figures.recordLoad();
    }
    boolean slow =
        kind == Trace.Kind.BROWNOUT
            && nowMillis >= BROWNOUT_START_MILLIS
            && nowMillis < BROWNOUT_END_MILLIS;
    double fullSpeed = 1_000.0 / deployment.loadsPerSecond();
    long restarts = runner.restartCount;
    schedule(
        nowMillis + Math.round(fullSpeed * (slow ? BROWNOUT_SLOWDOWN_FACTOR : 1)),
        () -> {
          boolean done = runner.restartCount == restarts;
          if (done) {
            runner.readySinceMillis.put(adapter, nowMillis);
          }
          runner.controller.loadAnswered(
              adapter, done ? OrderResult.DONE : OrderResult.FAILED, nowMillis);
          applyDecisions(runner);
        });
  }

  /** The engine forgets everything: what ran there is run again, and its report shows it empty. */
  private void coldRestart(SimulatedRunner runner) {
    runner.restartCount++;
    List<PendingRequest> again = new ArrayList<>();
    for (String id : List.copyOf(runner.running.keySet())) {
      PendingRequest lost = pendingRequests.get(id);
      endRequest(runner, id);
      if (lost != null) {
        again.add(new PendingRequest(lost.arrival, lost.entry, nowMillis));
      }
    }
    runner.readySinceMillis.clear();
    schedule(
        nowMillis + 1,
        () -> {
          runner.controller.reported(
              new EngineReport(nowMillis, Set.of(), Set.of(), Map.of()), SOLE_OWNER, nowMillis);
          applyDecisions(runner);
          again.forEach(request -> offerRequest(request, new HashSet<>()));
        });
  }

  private void tick() {
    grantTurns();
    runners.values().forEach(this::applyDecisions);
  }

  private void grantTurns() {
    for (TurnKey key : turns.grant(nowMillis)) {
      SimulatedRunner runner = requireRunner(key.runner);
      runner.controller.turnGranted(key.adapter);
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

  /** Adds up how the batches were used until {@code until}. */
  private void recordUtilization(long until) {
    long from = Math.max(utilizationRecordedUntilMillis, Trace.WARM_UP_MILLIS);
    utilizationRecordedUntilMillis = until;
    if (until <= from) {
      return;
    }
    for (List<Runner> pool : pools.values()) {
      int running = 0;
      int busy = 0;
      Set<AdapterVersion> distinct = new HashSet<>();
      for (Runner listed : pool) {
        SimulatedRunner runner = requireRunner(listed.id());
        running += runner.running.size();
        busy += runner.running.isEmpty() ? 0 : 1;
        distinct.addAll(runner.running.values());
      }
      int least =
          Math.max(ceilDiv(running, Deployment.BATCH), ceilDiv(distinct.size(), Deployment.SLOTS));
      figures.recordUtilization(
          until - from, running, busy * Deployment.BATCH, least * Deployment.BATCH);
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
