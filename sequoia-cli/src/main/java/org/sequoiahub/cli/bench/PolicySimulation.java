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

  private static final int ENTRIES = 8;
  private static final long HOP_MILLIS = 1;
  private static final long UNLOAD_MILLIS = 20;
  private static final long TICK_MILLIS = 50;
  private static final long DEADLINE_MILLIS = 120_000;
  private static final long BROWNOUT_FROM = 360_000;
  private static final long BROWNOUT_UNTIL = 480_000;
  private static final double BROWNOUT_SLOWNESS = 3;
  private static final Rights SOLE = new Rights(true, 1, Long.MIN_VALUE / 2);
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
  private final Map<String, Waiting> waiting = new HashMap<>();
  private final List<RunnerHints> hints = new ArrayList<>();
  private final Map<String, ActivePool> activePools = new HashMap<>();
  private final RouteSettings routing;
  private final RunnerChooser chooser;
  private final LoadTurns<TurnKey> turns;
  private long sequence;
  private long now;
  private long accountedUntil;

  PolicySimulation(Deployment deployment, Variant variant, Trace.Kind kind, long seed) {
    this.deployment = deployment;
    this.variant = variant;
    this.kind = kind;
    this.random = new SplittableRandom(seed + 1);
    this.routing = variant.routing(deployment.routing());
    this.chooser = new RunnerChooser(routing);
    this.turns = new LoadTurns<>(deployment.loadsPerSecond(), 1, 60_000);
    for (int i = 0; i < ENTRIES; i++) {
      hints.add(new RunnerHints());
    }
    deployment.pools().forEach(this::addPool);
  }

  PolicyFigures run(List<Arrival> arrivals) {
    arrivals.forEach(arrival -> at(arrival.atMillis(), () -> arrive(arrival)));
    for (long t = 0; t < Trace.DURATION_MILLIS; t += TICK_MILLIS) {
      at(t, this::tick);
    }
    if (kind == Trace.Kind.BROWNOUT) {
      at(BROWNOUT_FROM, () -> coldRestart(runners.values().iterator().next()));
    }
    for (Event event = events.poll();
        event != null && event.atMillis <= Trace.DURATION_MILLIS;
        event = events.poll()) {
      account(event.atMillis);
      now = event.atMillis;
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

  private void arrive(Arrival arrival) {
    int entry = random.nextInt(ENTRIES);
    offer(new Waiting(arrival, entry, now), new HashSet<>());
  }

  private void offer(Waiting request, Set<String> excluded) {
    Optional<Runner> chosen = choose(request, excluded);
    if (chosen.isEmpty()) {
      if (request.arrivedMillis >= Trace.WARM_UP_MILLIS) {
        figures.refused();
      }
      return;
    }
    Runner runner = chosen.get();
    RunnerHints own = hints.get(request.entry);
    own.requestSent(runner.id());
    at(
        now + HOP_MILLIS,
        () -> {
          SimulatedRunner target = target(runner.id());
          String id = "r" + ++sequence;
          AdapterVersion adapter = request.arrival.adapter();
          Admission admission =
              target.controller.offer(
                  new RunnerRequest(
                      id, adapter, request.arrival.pool().priority(), now + DEADLINE_MILLIS),
                  now);
          if (admission instanceof Admission.Admitted admitted) {
            waiting.put(id, request);
            long wait = admitted.expectedWaitMillis();
            boolean resident = admitted.resident();
            at(now + HOP_MILLIS, () -> own.update(runner.id(), adapter, wait, resident, now));
            settle(target);
          } else {
            own.requestEnded(runner.id());
            excluded.add(runner.id());
            offer(request, excluded);
          }
        });
  }

  private Optional<Runner> choose(Waiting request, Set<String> excluded) {
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
              Placement.candidates(adapter, active(request, all), routing.candidateCount()),
              excluded,
              hints.get(request.entry),
              now);
    };
  }

  private List<Runner> active(Waiting request, List<Runner> all) {
    RunnerHints own = hints.get(request.entry);
    int here = own.inFlight(all);
    String baseModel = request.arrival.pool().baseModel();
    return activePools
        .computeIfAbsent(request.entry + baseModel, k -> new ActivePool(routing.minActiveShare()))
        .select(baseModel, all, (double) here * ENTRIES, now);
  }

  private void settle(SimulatedRunner runner) {
    for (RunnerAction action : runner.controller.decide(SOLE, now)) {
      perform(runner, action);
    }
  }

  private void perform(SimulatedRunner runner, RunnerAction action) {
    if (action instanceof RunnerAction.Start start) {
      start(runner, start.request());
    } else if (action instanceof RunnerAction.Refuse refuse) {
      Waiting gone = waiting.remove(refuse.request().id());
      if (gone != null && gone.arrivedMillis >= Trace.WARM_UP_MILLIS) {
        figures.refused();
      }
    } else if (action instanceof RunnerAction.AskTurn ask) {
      TurnKey key = new TurnKey(runner.runner.id(), ask.adapter());
      turns.ask(key, ask.waiting(), ask.interactive(), now);
      grantTurns();
    } else if (action instanceof RunnerAction.ReturnTurn back) {
      turns.done(new TurnKey(runner.runner.id(), back.adapter()));
      grantTurns();
    } else if (action instanceof RunnerAction.Load load) {
      load(runner, load.adapter());
    } else if (action instanceof RunnerAction.Unload unload) {
      if (!runner.used.remove(unload.adapter()) && now >= Trace.WARM_UP_MILLIS) {
        figures.wastedLoad();
      }
      at(
          now + UNLOAD_MILLIS,
          () -> {
            runner.controller.unloadAnswered(unload.adapter(), OrderResult.DONE, now);
            runner.readySince.remove(unload.adapter());
            settle(runner);
          });
    }
  }

  private void start(SimulatedRunner runner, RunnerRequest request) {
    Waiting begun = waiting.get(request.id());
    if (begun == null) {
      return;
    }
    AdapterVersion adapter = request.adapter();
    runner.used.add(adapter);
    runner.running.put(request.id(), adapter);
    if (begun.arrivedMillis >= Trace.WARM_UP_MILLIS) {
      long wait = now - begun.arrivedMillis;
      long ready = runner.readySince.getOrDefault(adapter, now);
      long stall = Math.max(0, Math.min(wait, ready - begun.arrivedMillis));
      figures.started(request.priority(), wait, stall);
    }
    long restarts = runner.restarts;
    at(
        now + begun.arrival.serviceMillis(),
        () -> {
          if (runner.restarts == restarts) {
            end(runner, request.id());
            settle(runner);
          }
        });
  }

  private void end(SimulatedRunner runner, String id) {
    runner.running.remove(id);
    runner.controller.ended(id, now);
    Waiting ended = waiting.remove(id);
    if (ended != null) {
      RunnerHints own = hints.get(ended.entry);
      AdapterVersion adapter = ended.arrival.adapter();
      long wait = runner.controller.expectedWaitMillis(adapter, now);
      at(
          now + HOP_MILLIS,
          () -> {
            own.requestEnded(runner.runner.id());
            own.update(runner.runner.id(), adapter, wait, true, now);
          });
    }
  }

  private void load(SimulatedRunner runner, AdapterVersion adapter) {
    if (now >= Trace.WARM_UP_MILLIS) {
      figures.load();
    }
    boolean slow = kind == Trace.Kind.BROWNOUT && now >= BROWNOUT_FROM && now < BROWNOUT_UNTIL;
    double fullSpeed = 1_000.0 / deployment.loadsPerSecond();
    long restarts = runner.restarts;
    at(
        now + Math.round(fullSpeed * (slow ? BROWNOUT_SLOWNESS : 1)),
        () -> {
          boolean done = runner.restarts == restarts;
          if (done) {
            runner.readySince.put(adapter, now);
          }
          runner.controller.loadAnswered(
              adapter, done ? OrderResult.DONE : OrderResult.FAILED, now);
          settle(runner);
        });
  }

  /** The engine forgets everything: what ran there is run again, and its report shows it empty. */
  private void coldRestart(SimulatedRunner runner) {
    runner.restarts++;
    List<Waiting> again = new ArrayList<>();
    for (String id : List.copyOf(runner.running.keySet())) {
      Waiting lost = waiting.get(id);
      end(runner, id);
      if (lost != null) {
        again.add(new Waiting(lost.arrival, lost.entry, now));
      }
    }
    runner.readySince.clear();
    at(
        now + 1,
        () -> {
          runner.controller.reported(
              new EngineReport(now, Set.of(), Set.of(), Map.of()), SOLE, now);
          settle(runner);
          again.forEach(request -> offer(request, new HashSet<>()));
        });
  }

  private void tick() {
    grantTurns();
    runners.values().forEach(this::settle);
  }

  private void grantTurns() {
    for (TurnKey key : turns.grant(now)) {
      SimulatedRunner runner = target(key.runner);
      runner.controller.turnGranted(key.adapter);
      at(now, () -> settle(runner));
    }
  }

  private SimulatedRunner target(String id) {
    SimulatedRunner runner = runners.get(id);
    if (runner == null) {
      throw new IllegalArgumentException("id must name a runner, was '" + id + "'");
    }
    return runner;
  }

  /** Adds up how the batches were used until {@code until}. */
  private void account(long until) {
    long from = Math.max(accountedUntil, Trace.WARM_UP_MILLIS);
    accountedUntil = until;
    if (until <= from) {
      return;
    }
    for (List<Runner> pool : pools.values()) {
      int running = 0;
      int busy = 0;
      Set<AdapterVersion> distinct = new HashSet<>();
      for (Runner listed : pool) {
        SimulatedRunner runner = target(listed.id());
        running += runner.running.size();
        busy += runner.running.isEmpty() ? 0 : 1;
        distinct.addAll(runner.running.values());
      }
      int least =
          Math.max(ceilDiv(running, Deployment.BATCH), ceilDiv(distinct.size(), Deployment.SLOTS));
      figures.time(until - from, running, busy * Deployment.BATCH, least * Deployment.BATCH);
    }
  }

  private static int ceilDiv(int value, int by) {
    return (value + by - 1) / by;
  }

  private void at(long millis, Runnable work) {
    events.add(new Event(millis, ++sequence, work));
  }

  private record Event(long atMillis, long sequence, Runnable work) {}

  private record TurnKey(String runner, AdapterVersion adapter) {}

  private record Waiting(Arrival arrival, int entry, long arrivedMillis) {}

  private static final class SimulatedRunner {
    private final Runner runner;
    private final RunnerController controller;
    private final Map<String, AdapterVersion> running = new HashMap<>();
    private final Map<AdapterVersion, Long> readySince = new HashMap<>();
    private final Set<AdapterVersion> used = new HashSet<>();
    private long restarts;

    SimulatedRunner(Runner runner, RunnerController controller) {
      this.runner = runner;
      this.controller = controller;
    }
  }
}
