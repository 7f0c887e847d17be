package org.sequoiahub.dispatcher;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.authority.FencedAuthority;
import org.sequoiahub.core.authority.LeasedAuthority;
import org.sequoiahub.core.authority.Rights;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.core.fleet.Fleet.Runner;
import org.sequoiahub.core.fleet.Fleet.State;
import org.sequoiahub.core.placement.Placement;
import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.runner.Admission;
import org.sequoiahub.core.runner.EngineReport;
import org.sequoiahub.core.runner.OrderResult;
import org.sequoiahub.core.runner.PolicySettings;
import org.sequoiahub.core.runner.RunnerAction;
import org.sequoiahub.core.runner.RunnerRequest;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.platform.EngineClient;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.settings.DispatcherSettings;

/** The runners that this dispatcher owns or claims, and the orders to their engines. */
final class OwnedRunnerController {

  private static final int TERMS_BEFORE_DROP = 3;
  private static final int TERMS_LEFT_TO_OWNER = 5;
  private static final long UNLOAD_TIMEOUT_MILLIS = 5_000;
  private static final long REPORT_TIMEOUT_MILLIS = 2_000;

  private final DispatcherSettings settings;
  private final int fencingTag;
  private final EngineClient engines;
  private final LeaseService leases;
  private final LoadTurnService turns;
  private final Consumer<DispatcherEvent> events;
  private final EventLog log;
  private final PolicySettings policy;
  private final Map<String, OwnedRunner> owned = new LinkedHashMap<>();
  private final Counter loads;
  private final Counter loadsFailed;
  private final Counter unloads;
  private final Counter claimsRefused;
  private Requests requests = new Requests.None();
  private Fleet fleet = Fleet.EMPTY;
  private boolean stopping;

  OwnedRunnerController(
      DispatcherSettings settings,
      int fencingTag,
      EngineClient engines,
      LeaseService leases,
      LoadTurnService turns,
      Consumer<DispatcherEvent> events,
      MetricRegistry metrics,
      EventLog log) {
    this.settings = settings;
    this.fencingTag = fencingTag;
    this.engines = engines;
    this.leases = leases;
    this.turns = turns;
    this.events = events;
    this.log = log;
    PolicySettings weights =
        settings.getDeployment().equals("dhuwaan")
            ? PolicySettings.dhuwaan()
            : PolicySettings.ashcombe();
    this.policy = weights.withLimits(settings.getQueueLimit(), settings.getRequestLimitMs());
    this.loads = metrics.counter("loads.ordered");
    this.loadsFailed = metrics.counter("loads.failed");
    this.unloads = metrics.counter("evictions.ordered");
    this.claimsRefused = metrics.counter("claims.refused");
  }

  /** Does to requests what a runner's decisions ask for. */
  interface Requests {
    void start(Runner runner, RunnerRequest request, long fencingNumber);

    void refuse(RunnerRequest request, NotRun verdict);

    void cancelRunning(Runner runner, RunnerRequest request);

    /** Stands in until the real one is connected. */
    final class None implements Requests {
      @Override
      public void start(Runner runner, RunnerRequest request, long fencingNumber) {}

      @Override
      public void refuse(RunnerRequest request, NotRun verdict) {}

      @Override
      public void cancelRunning(Runner runner, RunnerRequest request) {}
    }
  }

  void connectTo(Requests handler) {
    requests = handler;
  }

  void fleet(Fleet next, long nowMillis) {
    fleet = next;
    Map<String, Runner> runners = next.runnersById();
    for (Runner runner : next.runners()) {
      boolean mine = isComputedOwner(runner.id());
      if (mine && runner.state() == State.LIVE && !stopping) {
        own(runner, nowMillis);
      }
    }
    for (OwnedRunner runner : List.copyOf(owned.values())) {
      Runner changed = runners.get(runner.runner().id());
      if (changed != null) {
        runner.runner(changed);
      }
      if (changed == null || changed.state() == State.LEAVING) {
        runner.controller().refuseQueued("runner-leaving", "the runner is leaving", 1);
        settle(runner, nowMillis);
      }
    }
  }

  /** Offers a request to a runner that this dispatcher owns, or may claim. */
  Admission offer(String runnerId, RunnerRequest request, boolean mayClaim, long nowMillis) {
    if (stopping) {
      return refused("stopping", "this host is stopping; use another address");
    }
    Optional<Runner> runner = fleet.runner(runnerId);
    if (runner.isEmpty()) {
      return refused("unknown-runner", "no runner '" + runnerId + "' is listed here");
    }
    if (runner.get().state() == State.LEAVING) {
      return refused("runner-leaving", "the runner is leaving");
    }
    boolean mine = isComputedOwner(runnerId);
    if (!mine && !mayClaim && !holds(runnerId, nowMillis)) {
      return refused("not-owner", "another dispatcher owns the runner");
    }
    OwnedRunner target = own(runner.get(), nowMillis);
    if (!mine && mayClaim && !target.wishClaim(nowMillis, settings.getAuthorityMs())) {
      return refused("not-owner", "the runner's owner has lately taken it back");
    }
    target.asked(nowMillis);
    if (!target.rights(nowMillis).held() && target.cannotGainAuthority()) {
      return refused("no-authority", "this host cannot gain authority over the runner");
    }
    Admission admission = target.controller().offer(request, nowMillis);
    settle(target, nowMillis);
    return admission;
  }

  /** Returns the runner if this dispatcher owns or claims it. */
  @Nullable OwnedRunner owned(String runnerId) {
    return owned.get(runnerId);
  }

  /** Does what the runner's decisions ask for, now. */
  void settle(OwnedRunner runner, long nowMillis) {
    Rights rights = runner.rights(nowMillis);
    for (RunnerAction action : runner.controller().decide(rights, nowMillis)) {
      perform(runner, action, nowMillis);
    }
  }

  void tick(long nowMillis) {
    for (OwnedRunner runner : List.copyOf(owned.values())) {
      noteAuthority(runner, nowMillis);
      if (mayClaim(runner, nowMillis) && runner.authority().claimDue(nowMillis)) {
        claim(runner, nowMillis);
      }
      if (runner.reportDue(nowMillis)) {
        readReport(runner, nowMillis);
      }
      refuseIfPowerless(runner, nowMillis);
      settle(runner, nowMillis);
      dropIfIdle(runner, nowMillis);
    }
  }

  void claimAnswered(DispatcherEvent.ClaimAnswered event, long nowMillis) {
    OwnedRunner runner = owned.get(event.runner());
    if (runner == null || !(runner.authority() instanceof FencedAuthority authority)) {
      return;
    }
    switch (event.answer().result()) {
      case DONE -> {
        authority.claimAccepted(event.number(), event.sentMillis(), nowMillis);
        runner.claimSucceeded();
      }
      case FAILED -> fenced(runner, event.number(), event.answer(), nowMillis);
      default -> log.debug("claim-unanswered", "runner", event.runner());
    }
    noteAuthority(runner, nowMillis);
    settle(runner, nowMillis);
  }

  void leaseAnswered(DispatcherEvent.LeaseAnswered event, long nowMillis) {
    OwnedRunner runner = owned.get(event.runner());
    if (runner != null
        && event.granted()
        && runner.authority() instanceof LeasedAuthority authority) {
      authority.granted(event.host(), event.sentMillis(), nowMillis);
      noteAuthority(runner, nowMillis);
      settle(runner, nowMillis);
    }
  }

  void turnAnswered(DispatcherEvent.TurnAnswered event, long nowMillis) {
    OwnedRunner runner = owned.get(event.runner());
    if (!event.granted()) {
      turns.keeperLost(event.runner(), event.adapter(), nowMillis);
    } else if (runner == null) {
      turns.giveBack(event.runner(), event.adapter());
    } else {
      runner.controller().turnGranted(event.adapter());
      settle(runner, nowMillis);
    }
  }

  void loadAnswered(DispatcherEvent.LoadAnswered event, long nowMillis) {
    OwnedRunner runner = owned.get(event.runner());
    if (runner == null) {
      return;
    }
    log.info(
        "load-answered",
        "runner",
        event.runner(),
        "adapter",
        event.adapter().exactName(),
        "result",
        event.answer().result());
    if (event.answer().result() != OrderResult.DONE) {
      loadsFailed.inc();
    }
    fenced(runner, event.number(), event.answer(), nowMillis);
    runner.controller().loadAnswered(event.adapter(), event.answer().result(), nowMillis);
    settle(runner, nowMillis);
  }

  void unloadAnswered(DispatcherEvent.UnloadAnswered event, long nowMillis) {
    OwnedRunner runner = owned.get(event.runner());
    if (runner == null) {
      return;
    }
    log.info(
        "eviction-answered",
        "runner",
        event.runner(),
        "adapter",
        event.adapter().exactName(),
        "result",
        event.answer().result());
    fenced(runner, event.number(), event.answer(), nowMillis);
    runner.controller().unloadAnswered(event.adapter(), event.answer().result(), nowMillis);
    settle(runner, nowMillis);
  }

  void reported(String runnerId, EngineReport report, long nowMillis) {
    OwnedRunner runner = owned.get(runnerId);
    if (runner == null) {
      return;
    }
    runner.reportAnswered();
    runner.controller().reported(report, runner.rights(nowMillis), nowMillis);
    settle(runner, nowMillis);
  }

  void reportFailed(String runnerId, String why) {
    OwnedRunner runner = owned.get(runnerId);
    if (runner != null) {
      runner.reportAnswered();
      log.debug("report-failed", "runner", runnerId, "error", why);
    }
  }

  /** Refuses what waits and gives all authority up, so that other dispatchers may take over. */
  void stop(long nowMillis) {
    stopping = true;
    for (OwnedRunner runner : owned.values()) {
      runner.controller().refuseQueued("stopping", "this host is stopping; use another address", 1);
      settle(runner, nowMillis);
      giveUp(runner);
    }
  }

  List<Map<String, Object>> status(long nowMillis) {
    List<Map<String, Object>> all = new ArrayList<>();
    for (OwnedRunner runner : owned.values()) {
      Map<String, Object> one = new LinkedHashMap<>();
      one.put("runner", runner.runner().id());
      one.put("state", runner.runner().state().name());
      one.put("authority", runner.rights(nowMillis).held());
      one.put("fencing", runner.authority().fencingNumber());
      one.put("queued", runner.controller().queued());
      one.put("running", runner.controller().running());
      one.put("slots", runner.controller().slotStates());
      all.add(one);
    }
    return all;
  }

  private void perform(OwnedRunner owner, RunnerAction action, long nowMillis) {
    Runner runner = owner.runner();
    long number = owner.authority().fencingNumber();
    if (action instanceof RunnerAction.Start start) {
      requests.start(runner, start.request(), number);
    } else if (action instanceof RunnerAction.Refuse refuse) {
      requests.refuse(refuse.request(), refuse.verdict());
    } else if (action instanceof RunnerAction.CancelRunning cancel) {
      requests.cancelRunning(runner, cancel.request());
    } else if (action instanceof RunnerAction.AskTurn ask) {
      turns.ask(runner.id(), ask, nowMillis);
    } else if (action instanceof RunnerAction.ReturnTurn back) {
      turns.giveBack(runner.id(), back.adapter());
    } else if (action instanceof RunnerAction.Load load) {
      orderLoad(runner, load.adapter(), number);
    } else if (action instanceof RunnerAction.Unload unload) {
      orderUnload(runner, unload.adapter(), number);
    }
  }

  private void orderLoad(Runner runner, AdapterVersion adapter, long number) {
    loads.inc();
    log.info("load-ordered", "runner", runner.id(), "adapter", adapter.exactName());
    engines.load(
        runner.address(),
        adapter,
        number,
        settings.getLoadTimeoutMs(),
        answer ->
            events.accept(new DispatcherEvent.LoadAnswered(runner.id(), adapter, number, answer)));
  }

  private void orderUnload(Runner runner, AdapterVersion adapter, long number) {
    unloads.inc();
    log.info("eviction-ordered", "runner", runner.id(), "adapter", adapter.exactName());
    engines.unload(
        runner.address(),
        adapter,
        number,
        UNLOAD_TIMEOUT_MILLIS,
        answer ->
            events.accept(
                new DispatcherEvent.UnloadAnswered(runner.id(), adapter, number, answer)));
  }

  private void claim(OwnedRunner runner, long nowMillis) {
    String id = runner.runner().id();
    runner.claimRoundStarted();
    if (runner.authority() instanceof FencedAuthority authority) {
      long number = authority.fencingNumber();
      authority.claimSent(nowMillis);
      engines.claim(
          runner.runner().address(),
          number,
          settings.getAuthorityMs(),
          answer ->
              events.accept(new DispatcherEvent.ClaimAnswered(id, number, nowMillis, answer)));
    } else if (runner.authority() instanceof LeasedAuthority authority) {
      leases.claim(id, authority, nowMillis);
    }
  }

  private void fenced(
      OwnedRunner runner, long number, EngineClient.OrderResponse answer, long nowMillis) {
    if (answer.fenced() && runner.authority() instanceof FencedAuthority authority) {
      claimsRefused.inc();
      authority.refused(number, answer.highestFencing(), nowMillis);
      boolean wasHeld = noteAuthority(runner, nowMillis) < 0;
      if (wasHeld && !isComputedOwner(runner.runner().id())) {
        runner.preempted(nowMillis, TERMS_LEFT_TO_OWNER * settings.getAuthorityMs());
      }
    }
  }

  private void readReport(OwnedRunner runner, long nowMillis) {
    String id = runner.runner().id();
    runner.reportAsked(nowMillis, settings.getReportPeriodMs());
    engines.readReport(
        runner.runner().address(),
        REPORT_TIMEOUT_MILLIS,
        nowMillis,
        new EngineClient.ReportListener() {
          @Override
          public void onReport(EngineReport report) {
            events.accept(new DispatcherEvent.Reported(id, report));
          }

          @Override
          public void onFailure(String why) {
            events.accept(new DispatcherEvent.ReportFailed(id, why));
          }
        });
  }

  private int noteAuthority(OwnedRunner runner, long nowMillis) {
    int change = runner.authorityChange(nowMillis);
    if (change > 0) {
      runner.claimSucceeded();
    }
    if (change != 0) {
      log.info(
          change > 0 ? "authority-gained" : "authority-lost",
          "runner",
          runner.runner().id(),
          "fencing",
          runner.authority().fencingNumber());
    }
    return change;
  }

  /**
   * Returns whether this dispatcher should have the runner, as its owner or in the owner's stead.
   */
  private boolean mayClaim(OwnedRunner runner, long nowMillis) {
    boolean entitled = isComputedOwner(runner.runner().id()) || runner.isClaimWished(nowMillis);
    return entitled && !stopping;
  }

  private boolean holds(String runnerId, long nowMillis) {
    OwnedRunner runner = owned.get(runnerId);
    return runner != null && runner.rights(nowMillis).held();
  }

  private void refuseIfPowerless(OwnedRunner runner, long nowMillis) {
    boolean held = runner.rights(nowMillis).held();
    if (!held && !mayClaim(runner, nowMillis)) {
      runner.controller().refuseQueued("not-owner", "another dispatcher owns the runner", 1);
      return;
    }
    boolean powerless = !held && runner.cannotGainAuthority();
    if (powerless && runner.controller().queued() > 0) {
      runner
          .controller()
          .refuseQueued(
              "no-authority",
              "this host cannot gain authority over the runner",
              settings.getAuthorityMs());
    }
  }

  private void dropIfIdle(OwnedRunner runner, long nowMillis) {
    String id = runner.runner().id();
    boolean listed = fleet.runner(id).filter(r -> r.state() == State.LIVE).isPresent();
    boolean wanted = listed && isComputedOwner(id) && !stopping;
    if (!wanted && runner.isIdleFor(TERMS_BEFORE_DROP * settings.getAuthorityMs(), nowMillis)) {
      giveUp(runner);
      owned.remove(id);
      log.info("runner-dropped", "runner", id);
    }
  }

  private void giveUp(OwnedRunner runner) {
    runner.authority().giveUp();
    if (runner.authority() instanceof LeasedAuthority) {
      leases.release(runner.runner().id());
    }
  }

  private OwnedRunner own(Runner runner, long nowMillis) {
    return owned.computeIfAbsent(
        runner.id(),
        id -> new OwnedRunner(runner, policy, settings.getAuthorityMs(), fencingTag, nowMillis));
  }

  private boolean isComputedOwner(String runnerId) {
    return Placement.owner(runnerId, fleet.liveHosts())
        .map(Host::id)
        .filter(settings.getHostId()::equals)
        .isPresent();
  }

  private static Admission refused(String reason, String message) {
    return new Admission.Refused(new NotRun(reason, message, 1));
  }
}
