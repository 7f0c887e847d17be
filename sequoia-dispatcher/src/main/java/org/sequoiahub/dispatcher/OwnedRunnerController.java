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

/**
 * Manages the runners that this dispatcher owns or claims: gains authority over them and carries
 * out the decisions of their controllers.
 */
final class OwnedRunnerController {

  /** Authority terms without requests after which a runner of another owner is dropped. */
  private static final int IDLE_TERMS_BEFORE_DROP = 3;

  /** Authority terms after a preemption by the owner in which claim requests are refused. */
  private static final int TERMS_RESERVED_FOR_OWNER = 5;

  private static final long UNLOAD_TIMEOUT_MILLIS = 5_000;
  private static final long REPORT_TIMEOUT_MILLIS = 2_000;

  private final DispatcherSettings settings;
  private final int fencingTag;
  private final EngineClient engines;
  private final LeaseService leases;
  private final LoadTurnService loadTurns;
  private final Consumer<DispatcherEvent> events;
  private final EventLog log;
  private final PolicySettings policy;
  private final Map<String, OwnedRunner> owned = new LinkedHashMap<>();
  private final Counter loads;
  private final Counter loadsFailed;
  private final Counter unloads;
  private final Counter claimsRefused;
  private RequestHandler requestHandler = new RequestHandler.NoOp();
  private Fleet fleet = Fleet.EMPTY;
  private boolean stopping;

  OwnedRunnerController(
      DispatcherSettings settings,
      int fencingTag,
      EngineClient engines,
      LeaseService leases,
      LoadTurnService loadTurns,
      Consumer<DispatcherEvent> events,
      MetricRegistry metrics,
      EventLog log) {
    this.settings = settings;
    this.fencingTag = fencingTag;
    this.engines = engines;
    this.leases = leases;
    this.loadTurns = loadTurns;
    this.events = events;
    this.log = log;
    PolicySettings deploymentPolicy =
        settings.getDeployment().equals("dhuwaan")
            ? PolicySettings.dhuwaan()
            : PolicySettings.ashcombe();
    this.policy =
        deploymentPolicy.withLimits(settings.getQueueLimit(), settings.getRequestLimitMs());
    this.loads = metrics.counter("loads.ordered");
    this.loadsFailed = metrics.counter("loads.failed");
    this.unloads = metrics.counter("evictions.ordered");
    this.claimsRefused = metrics.counter("claims.refused");
  }

  /** Starts, refuses and cancels requests as a runner's controller decides. */
  interface RequestHandler {
    void start(Runner runner, RunnerRequest request, long fencingNumber);

    void refuse(RunnerRequest request, NotRun verdict);

    void cancelRunning(Runner runner, RunnerRequest request);

    /** Does nothing; used until the actual handler is set. */
    final class NoOp implements RequestHandler {
      @Override
      public void start(Runner runner, RunnerRequest request, long fencingNumber) {}

      @Override
      public void refuse(RunnerRequest request, NotRun verdict) {}

      @Override
      public void cancelRunning(Runner runner, RunnerRequest request) {}
    }
  }

  void setRequestHandler(RequestHandler handler) {
    requestHandler = handler;
  }

  void fleet(Fleet next, long nowMillis) {
    fleet = next;
    Map<String, Runner> runners = next.runnersById();
    for (Runner runner : next.runners()) {
      boolean computedOwner = isComputedOwner(runner.id());
      if (computedOwner && runner.state() == State.LIVE && !stopping) {
        getOrCreateOwned(runner, nowMillis);
      }
    }
    for (OwnedRunner runner : List.copyOf(owned.values())) {
      Runner updated = runners.get(runner.runner().id());
      if (updated != null) {
        runner.runner(updated);
      }
      if (updated == null || updated.state() == State.LEAVING) {
        runner.controller().rejectQueued("runner-leaving", "the runner is leaving", 1);
        performActions(runner, nowMillis);
      }
    }
  }

  /**
   * Offers a request to a runner that this dispatcher owns or may claim.
   *
   * @param mayClaim whether to claim the runner if another dispatcher owns it
   */
  Admission offer(String runnerId, RunnerRequest request, boolean mayClaim, long nowMillis) {
    if (stopping) {
      return refused("stopping", "this host is stopping; use another address");
    }
    Optional<Runner> runner = fleet.runner(runnerId);
    if (runner.isEmpty()) {
      return refused(
          "unknown-runner", "runner '" + runnerId + "' is not in the fleet known to this host");
    }
    if (runner.get().state() == State.LEAVING) {
      return refused("runner-leaving", "the runner is leaving");
    }
    boolean computedOwner = isComputedOwner(runnerId);
    if (!computedOwner && !mayClaim && !holdsAuthority(runnerId, nowMillis)) {
      return refused("not-owner", "another dispatcher owns the runner");
    }
    OwnedRunner target = getOrCreateOwned(runner.get(), nowMillis);
    if (!computedOwner && mayClaim && !target.requestClaim(nowMillis, settings.getAuthorityMs())) {
      return refused("not-owner", "the runner's owner has recently reclaimed it");
    }
    target.requestReceived(nowMillis);
    if (!target.rights(nowMillis).held() && target.cannotGainAuthority()) {
      return refused("no-authority", "this host cannot gain authority over the runner");
    }
    Admission admission = target.controller().offer(request, nowMillis);
    performActions(target, nowMillis);
    return admission;
  }

  /** Returns the runner if this dispatcher owns or claims it, otherwise null. */
  @Nullable OwnedRunner owned(String runnerId) {
    return owned.get(runnerId);
  }

  /** Performs the actions that the runner's controller decides on at this time. */
  void performActions(OwnedRunner runner, long nowMillis) {
    Rights rights = runner.rights(nowMillis);
    for (RunnerAction action : runner.controller().decide(rights, nowMillis)) {
      perform(runner, action, nowMillis);
    }
  }

  void tick(long nowMillis) {
    for (OwnedRunner runner : List.copyOf(owned.values())) {
      recordAuthorityChange(runner, nowMillis);
      if (mayClaim(runner, nowMillis) && runner.authority().claimDue(nowMillis)) {
        claim(runner, nowMillis);
      }
      if (runner.isReportDue(nowMillis)) {
        requestReport(runner, nowMillis);
      }
      refuseQueuedWithoutAuthority(runner, nowMillis);
      performActions(runner, nowMillis);
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
        authority.claimAccepted(event.fencingNumber(), event.sentMillis(), nowMillis);
        runner.claimSucceeded();
      }
      case FAILED -> handleFencingRefusal(runner, event.fencingNumber(), event.answer(), nowMillis);
      default -> log.debug("claim-unanswered", "runner", event.runner());
    }
    recordAuthorityChange(runner, nowMillis);
    performActions(runner, nowMillis);
  }

  void leaseAnswered(DispatcherEvent.LeaseAnswered event, long nowMillis) {
    OwnedRunner runner = owned.get(event.runner());
    if (runner != null
        && event.granted()
        && runner.authority() instanceof LeasedAuthority authority) {
      authority.claimGranted(event.host(), event.sentMillis(), nowMillis);
      recordAuthorityChange(runner, nowMillis);
      performActions(runner, nowMillis);
    }
  }

  void loadTurnAnswered(DispatcherEvent.LoadTurnAnswered event, long nowMillis) {
    OwnedRunner runner = owned.get(event.runner());
    if (!event.granted()) {
      loadTurns.fallBackToOwnShare(event.runner(), event.adapter(), nowMillis);
    } else if (runner == null) {
      loadTurns.returnTurn(event.runner(), event.adapter());
    } else {
      runner.controller().loadTurnGranted(event.adapter());
      performActions(runner, nowMillis);
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
    handleFencingRefusal(runner, event.fencingNumber(), event.answer(), nowMillis);
    runner.controller().loadAnswered(event.adapter(), event.answer().result(), nowMillis);
    performActions(runner, nowMillis);
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
    handleFencingRefusal(runner, event.fencingNumber(), event.answer(), nowMillis);
    runner.controller().unloadAnswered(event.adapter(), event.answer().result(), nowMillis);
    performActions(runner, nowMillis);
  }

  void reportReceived(String runnerId, EngineReport report, long nowMillis) {
    OwnedRunner runner = owned.get(runnerId);
    if (runner == null) {
      return;
    }
    runner.reportCompleted();
    runner.controller().applyReport(report, runner.rights(nowMillis), nowMillis);
    performActions(runner, nowMillis);
  }

  void reportFailed(String runnerId, String reason) {
    OwnedRunner runner = owned.get(runnerId);
    if (runner != null) {
      runner.reportCompleted();
      log.debug("report-failed", "runner", runnerId, "error", reason);
    }
  }

  /**
   * Refuses queued requests and releases all authority, so that other dispatchers can take over.
   */
  void stop(long nowMillis) {
    stopping = true;
    for (OwnedRunner runner : owned.values()) {
      runner.controller().rejectQueued("stopping", "this host is stopping; use another address", 1);
      performActions(runner, nowMillis);
      releaseAuthority(runner);
    }
  }

  List<Map<String, Object>> status(long nowMillis) {
    List<Map<String, Object>> statuses = new ArrayList<>();
    for (OwnedRunner runner : owned.values()) {
      Map<String, Object> status = new LinkedHashMap<>();
      status.put("runner", runner.runner().id());
      status.put("state", runner.runner().state().name());
      status.put("authority", runner.rights(nowMillis).held());
      status.put("fencing", runner.authority().fencingNumber());
      status.put("queued", runner.controller().queued());
      status.put("running", runner.controller().running());
      status.put("slots", runner.controller().slotStates());
      statuses.add(status);
    }
    return statuses;
  }

  private void perform(OwnedRunner owner, RunnerAction action, long nowMillis) {
    Runner runner = owner.runner();
    long fencingNumber = owner.authority().fencingNumber();
    if (action instanceof RunnerAction.Start start) {
      requestHandler.start(runner, start.request(), fencingNumber);
    } else if (action instanceof RunnerAction.Reject refuse) {
      requestHandler.refuse(refuse.request(), refuse.verdict());
    } else if (action instanceof RunnerAction.CancelRunning cancel) {
      requestHandler.cancelRunning(runner, cancel.request());
    } else if (action instanceof RunnerAction.RequestLoadTurn ask) {
      loadTurns.requestTurn(runner.id(), ask, nowMillis);
    } else if (action instanceof RunnerAction.ReleaseLoadTurn turn) {
      loadTurns.returnTurn(runner.id(), turn.adapter());
    } else if (action instanceof RunnerAction.Load load) {
      orderLoad(runner, load.adapter(), fencingNumber);
    } else if (action instanceof RunnerAction.Unload unload) {
      orderUnload(runner, unload.adapter(), fencingNumber);
    }
  }

  private void orderLoad(Runner runner, AdapterVersion adapter, long fencingNumber) {
    loads.inc();
    log.info("load-ordered", "runner", runner.id(), "adapter", adapter.exactName());
    engines.load(
        runner.address(),
        adapter,
        fencingNumber,
        settings.getLoadTimeoutMs(),
        answer ->
            events.accept(
                new DispatcherEvent.LoadAnswered(runner.id(), adapter, fencingNumber, answer)));
  }

  private void orderUnload(Runner runner, AdapterVersion adapter, long fencingNumber) {
    unloads.inc();
    log.info("eviction-ordered", "runner", runner.id(), "adapter", adapter.exactName());
    engines.unload(
        runner.address(),
        adapter,
        fencingNumber,
        UNLOAD_TIMEOUT_MILLIS,
        answer ->
            events.accept(
                new DispatcherEvent.UnloadAnswered(runner.id(), adapter, fencingNumber, answer)));
  }

  private void claim(OwnedRunner runner, long nowMillis) {
    String id = runner.runner().id();
    runner.claimRoundStarted();
    if (runner.authority() instanceof FencedAuthority authority) {
      long fencingNumber = authority.fencingNumber();
      authority.claimSent(nowMillis);
      engines.claim(
          runner.runner().address(),
          fencingNumber,
          settings.getAuthorityMs(),
          answer ->
              events.accept(
                  new DispatcherEvent.ClaimAnswered(id, fencingNumber, nowMillis, answer)));
    } else if (runner.authority() instanceof LeasedAuthority authority) {
      leases.claim(id, authority, nowMillis);
    }
  }

  private void handleFencingRefusal(
      OwnedRunner runner, long fencingNumber, EngineClient.OrderResponse answer, long nowMillis) {
    if (answer.fenced() && runner.authority() instanceof FencedAuthority authority) {
      claimsRefused.inc();
      authority.fencingNumberRefused(fencingNumber, answer.highestFencing(), nowMillis);
      boolean wasHeld = recordAuthorityChange(runner, nowMillis) < 0;
      if (wasHeld && !isComputedOwner(runner.runner().id())) {
        runner.preempted(nowMillis, TERMS_RESERVED_FOR_OWNER * settings.getAuthorityMs());
      }
    }
  }

  private void requestReport(OwnedRunner runner, long nowMillis) {
    String id = runner.runner().id();
    runner.reportRequested(nowMillis, settings.getReportPeriodMs());
    engines.readReport(
        runner.runner().address(),
        REPORT_TIMEOUT_MILLIS,
        nowMillis,
        new EngineClient.ReportListener() {
          @Override
          public void onReport(EngineReport report) {
            events.accept(new DispatcherEvent.ReportReceived(id, report));
          }

          @Override
          public void onFailure(String reason) {
            events.accept(new DispatcherEvent.ReportFailed(id, reason));
          }
        });
  }

  private int recordAuthorityChange(OwnedRunner runner, long nowMillis) {
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
   * Returns whether this dispatcher is to claim the runner, as its computed owner or because an
   * entry requested it.
   */
  private boolean mayClaim(OwnedRunner runner, long nowMillis) {
    boolean entitled = isComputedOwner(runner.runner().id()) || runner.isClaimRequested(nowMillis);
    return entitled && !stopping;
  }

  private boolean holdsAuthority(String runnerId, long nowMillis) {
    OwnedRunner runner = owned.get(runnerId);
    return runner != null && runner.rights(nowMillis).held();
  }

  private void refuseQueuedWithoutAuthority(OwnedRunner runner, long nowMillis) {
    boolean held = runner.rights(nowMillis).held();
    if (!held && !mayClaim(runner, nowMillis)) {
      runner.controller().rejectQueued("not-owner", "another dispatcher owns the runner", 1);
      return;
    }
    boolean authorityUnavailable = !held && runner.cannotGainAuthority();
    if (authorityUnavailable && runner.controller().queued() > 0) {
      runner
          .controller()
          .rejectQueued(
              "no-authority",
              "this host cannot gain authority over the runner",
              settings.getAuthorityMs());
    }
  }

  private void dropIfIdle(OwnedRunner runner, long nowMillis) {
    String id = runner.runner().id();
    boolean listed = fleet.runner(id).filter(r -> r.state() == State.LIVE).isPresent();
    boolean ownedHere = listed && isComputedOwner(id) && !stopping;
    if (!ownedHere
        && runner.isIdleFor(IDLE_TERMS_BEFORE_DROP * settings.getAuthorityMs(), nowMillis)) {
      releaseAuthority(runner);
      owned.remove(id);
      log.info("runner-dropped", "runner", id);
    }
  }

  private void releaseAuthority(OwnedRunner runner) {
    runner.authority().release();
    if (runner.authority() instanceof LeasedAuthority) {
      leases.release(runner.runner().id());
    }
  }

  private OwnedRunner getOrCreateOwned(Runner runner, long nowMillis) {
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
    return new Admission.Rejected(new NotRun(reason, message, 1));
  }
}
