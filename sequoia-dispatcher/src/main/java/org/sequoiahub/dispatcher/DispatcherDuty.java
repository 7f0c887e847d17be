package org.sequoiahub.dispatcher;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.settings.DispatcherSettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.LocalView;
import org.sequoiahub.wire.WireConnection;

/** Routes each event to the component that handles it; one thread accesses all of their state. */
final class DispatcherDuty {

  private static final long STATUS_INTERVAL_MILLIS = 200;

  private final DispatcherSettings settings;
  private final LocalView view;
  private final OwnedRunnerController runners;
  private final JobScheduler jobs;
  private final ServiceForwarder services;
  private final LeaseService leases;
  private final LoadTurnService turns;
  private final MonotonicClock clock;
  private final EventLog log;
  private @Nullable Runnable onDrained;
  private long nextStatusMillis = Long.MIN_VALUE;
  private volatile boolean ready;
  private volatile Map<String, Object> status = Map.of();

  DispatcherDuty(
      DispatcherSettings settings,
      LocalView view,
      OwnedRunnerController runners,
      JobScheduler jobs,
      ServiceForwarder services,
      LeaseService leases,
      LoadTurnService turns,
      MonotonicClock clock,
      MetricRegistry metrics,
      EventLog log) {
    this.settings = settings;
    this.view = view;
    this.runners = runners;
    this.jobs = jobs;
    this.services = services;
    this.leases = leases;
    this.turns = turns;
    this.clock = clock;
    this.log = log;
    runners.setRequestHandler(jobs);
    metrics.register("requests.in_progress", (Gauge<Object>) jobs::size);
  }

  boolean isReady() {
    return ready;
  }

  Map<String, Object> status() {
    return status;
  }

  void logFailure(Throwable failure) {
    log.warning("defect", "error", failure, "at", failure.getStackTrace()[0]);
  }

  void handle(DispatcherEvent event) {
    long now = clock.nowMillis();
    jobs.setNowMillis(now);
    if (event instanceof DispatcherEvent.ChunkReceived e) {
      jobs.chunkReceived(e);
    } else if (event instanceof DispatcherEvent.MessageReceived e) {
      routeMessage(e.connection(), e.message(), now);
    } else if (event instanceof DispatcherEvent.EndReceived e) {
      jobs.endReceived(e);
    } else if (event instanceof DispatcherEvent.StartRefused e) {
      jobs.startRefused(e);
    } else if (event instanceof DispatcherEvent.StreamFailed e) {
      jobs.streamFailed(e);
    } else if (event instanceof DispatcherEvent.CancelAnswered e) {
      jobs.cancelAnswered(e);
    } else if (event instanceof DispatcherEvent.ReportReceived e) {
      runners.reportReceived(e.runner(), e.report(), now);
    } else if (event instanceof DispatcherEvent.ReportFailed e) {
      runners.reportFailed(e.runner(), e.reason());
    } else if (event instanceof DispatcherEvent.ClaimAnswered e) {
      runners.claimAnswered(e, now);
    } else if (event instanceof DispatcherEvent.LeaseAnswered e) {
      runners.leaseAnswered(e, now);
    } else if (event instanceof DispatcherEvent.LoadAnswered e) {
      runners.loadAnswered(e, now);
    } else if (event instanceof DispatcherEvent.UnloadAnswered e) {
      runners.unloadAnswered(e, now);
    } else if (event instanceof DispatcherEvent.LoadTurnAnswered e) {
      runners.loadTurnAnswered(e, now);
    } else if (event instanceof DispatcherEvent.ServiceAnswered e) {
      services.upstreamAnswered(e);
    } else if (event instanceof DispatcherEvent.ServiceFailed e) {
      services.upstreamFailed(e);
    } else if (event instanceof DispatcherEvent.ViewUpdated e) {
      applyViewUpdate(e, now);
    } else if (event instanceof DispatcherEvent.ConnectionClosed e) {
      jobs.connectionClosed(e.connection());
      turns.connectionClosed(e.connection());
    } else if (event instanceof DispatcherEvent.Stop e) {
      stop(e.onDrained(), now);
    }
  }

  void tick(long nowMillis) {
    jobs.setNowMillis(nowMillis);
    runners.tick(nowMillis);
    jobs.tick();
    turns.tick(nowMillis);
    if (nowMillis >= nextStatusMillis) {
      nextStatusMillis = nowMillis + STATUS_INTERVAL_MILLIS;
      publishStatus(nowMillis);
    }
    Runnable drainedCallback = onDrained;
    if (drainedCallback != null && jobs.size() == 0 && services.size() == 0) {
      onDrained = null;
      drainedCallback.run();
    }
  }

  private void routeMessage(WireConnection connection, Envelope message, long nowMillis) {
    long call = message.getCall();
    switch (message.getBodyCase()) {
      case INFERENCE -> jobs.handleInferenceCall(connection, call, message.getInference());
      case CANCEL -> jobs.handleCancel(connection, call);
      case SERVICE -> services.handleServiceCall(connection, call, message.getService(), nowMillis);
      case MINT -> services.mintOperationIds(connection, call, message.getMint(), nowMillis);
      case LEASE -> leases.handleLeaseCall(connection, call, message.getLease(), nowMillis);
      case LOAD_TURN ->
          turns.handleLoadTurnCall(connection, call, message.getLoadTurn(), nowMillis);
      default -> log.warning("unexpected-message", "kind", message.getBodyCase());
    }
  }

  private void applyViewUpdate(DispatcherEvent.ViewUpdated event, long nowMillis) {
    if (view.apply(event.update())) {
      Fleet fleet = view.fleet();
      jobs.fleet(fleet);
      services.fleet(fleet);
      leases.fleet(fleet);
      turns.fleet(fleet);
      runners.fleet(fleet, nowMillis);
    }
    ready = view.isCaughtUp() && onDrained == null;
  }

  private void stop(Runnable whenDrained, long nowMillis) {
    ready = false;
    onDrained = whenDrained;
    services.stop();
    runners.stop(nowMillis);
  }

  private void publishStatus(long nowMillis) {
    Map<String, Object> next = new LinkedHashMap<>();
    next.put("host", settings.getHostId());
    next.put("ready", ready);
    next.put("requests", jobs.size());
    next.put("service_calls", services.size());
    next.put("hosts_revision", view.fleet().revision());
    next.put("runners", runners.status(nowMillis));
    status = next;
  }
}
