package org.sequoiahub.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.placement.Placement;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Priority;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.route.RunnerChooser;
import org.sequoiahub.core.route.RunnerHints;
import org.sequoiahub.core.runner.EngineReport;
import org.sequoiahub.core.runner.OrderResult;
import org.sequoiahub.core.runner.PolicySettings;
import org.sequoiahub.core.runner.RunnerAction;
import org.sequoiahub.core.runner.RunnerController;
import org.sequoiahub.core.runner.RunnerRequest;

/**
 * Measures the time of the decisions that each request requires, by the number of adapters and
 * runners. {@code bin/jmh} runs it.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class HotDecisionBenchmark {

  private static final int MODELS = 8;
  private static final int SLOTS = 8;
  private static final int BATCH = 16;

  /** Authority over a runner that no other dispatcher has ever used. */
  private static final Rights SOLE_OWNER = new Rights(true, 1, Long.MIN_VALUE / 2);

  /** Number of adapters. */
  @Param({"3000", "77000"})
  int adapters;

  /** Number of runners in the fleet; a pool is an eighth of them, at least two. */
  @Param({"16", "2100"})
  int runners;

  private AdapterVersion[] adapterVersions = new AdapterVersion[0];
  private List<Runner> pool = List.of();
  private List<RunnerController> controllers = List.of();
  private RunnerChooser chooser = new RunnerChooser(RouteSettings.ashcombe());
  private RunnerHints hints = new RunnerHints();
  private long invocations;

  /** Creates the adapter versions, the pool and a controller for each runner. */
  @Setup
  public void setUp() {
    adapterVersions = new AdapterVersion[adapters];
    for (int i = 0; i < adapters; i++) {
      adapterVersions[i] = new AdapterVersion("adapter-" + i, "1");
    }
    List<Runner> listed = new ArrayList<>();
    for (int i = 0; i < Math.max(2, runners / MODELS); i++) {
      listed.add(
          new Runner("runner-" + i, "-", "d" + i % 5, Fleet.State.LIVE, "m1", SLOTS, BATCH, true));
    }
    pool = listed;
    controllers = new ArrayList<>();
    for (int i = 0; i < runners; i++) {
      RunnerController controller = new RunnerController(SLOTS, BATCH, PolicySettings.ashcombe());
      controller.applyReport(
          new EngineReport(1, Set.of(adapterVersions[0], adapterVersions[1]), Set.of(), Map.of()),
          SOLE_OWNER,
          2);
      controllers.add(controller);
    }
  }

  /** Ranks an adapter's candidates and chooses one. */
  @Benchmark
  public Object route() {
    AdapterVersion adapter = adapterVersions[(int) (invocations++ % adapters)];
    return chooser.choose(
        adapter, Placement.candidates(adapter, pool, 4), Set.of(), hints, invocations);
  }

  /** Admits, starts and ends a request for a loaded adapter. */
  @Benchmark
  public Object admit() {
    long now = 10 + invocations++;
    RunnerController controller = controllers.get((int) (invocations % runners));
    String id = "r" + invocations;
    controller.offer(
        new RunnerRequest(id, adapterVersions[0], Priority.INTERACTIVE, now + 60_000), now);
    List<RunnerAction> started = controller.decide(SOLE_OWNER, now);
    controller.requestEnded(id, now + 1);
    return started;
  }

  /**
   * Admits a request for an adapter that is not loaded, which causes a load and, once the slots are
   * full, an eviction.
   */
  @Benchmark
  public Object evict() {
    long now = 10 + invocations++ * 10;
    RunnerController controller = controllers.get((int) (invocations % runners));
    AdapterVersion adapter = adapterVersions[(int) (invocations % adapters)];
    String id = "r" + invocations;
    controller.offer(new RunnerRequest(id, adapter, Priority.INTERACTIVE, now + 60_000), now);
    int steps = 0;
    for (List<RunnerAction> actions = controller.decide(SOLE_OWNER, now);
        !actions.isEmpty();
        actions = controller.decide(SOLE_OWNER, now)) {
      for (RunnerAction action : actions) {
        perform(controller, action, now);
        steps++;
      }
    }
    controller.requestEnded(id, now + 1);
    return steps;
  }

  private static void perform(RunnerController controller, RunnerAction action, long now) {
    if (action instanceof RunnerAction.RequestLoadTurn ask) {
      controller.loadTurnGranted(ask.adapter());
    } else if (action instanceof RunnerAction.Load load) {
      controller.loadAnswered(load.adapter(), OrderResult.DONE, now);
    } else if (action instanceof RunnerAction.Unload unload) {
      controller.unloadAnswered(unload.adapter(), OrderResult.DONE, now);
    }
  }
}
