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

/** Hands each event to the service that it is for; all state lives on one thread. */
final class DispatcherDuty {

  private static final long STATUS_MILLIS = 200;

  private final DispatcherSettings settings;
  private final LocalView view;
  private final OwnedRunnerController runners;
  private final JobScheduler jobs;
  private final ServiceForwarder services;
  private final LeaseService leases;
  private final LoadTurnService turns;
  private final MonotonicClock clock;
  private final EventLog log;
  private @Nullable Runnable drained;
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
    runners.connectTo(jobs);
    metrics.register("requests.in_progress", (Gauge<Object>) jobs::size);
  }

  boolean isReady() {
    return ready;
  }

  Map<String, Object> status() {
    return status;
  }

  void failed(Throwable failure) {
    log.warning("defect", "error", failure, "at", failure.getStackTrace()[0]);
  }

  void handle(DispatcherEvent event) {
    long now = clock.nowMillis();
    jobs.now(now);
    if (event instanceof DispatcherEvent.ChunkCame e) {
      jobs.chunkCame(e);
    } else if (event instanceof DispatcherEvent.Received e) {
      received(e.connection(), e.message(), now);
    } else if (event instanceof DispatcherEvent.EndCame e) {
      jobs.endCame(e);
    } else if (event instanceof DispatcherEvent.StartRefused e) {
      jobs.startRefused(e);
    } else if (event instanceof DispatcherEvent.StreamBroke e) {
      jobs.streamBroke(e);
    } else if (event instanceof DispatcherEvent.CancelAnswered e) {
      jobs.cancelAnswered(e);
    } else if (event instanceof DispatcherEvent.Reported e) {
      runners.reported(e.runner(), e.report(), now);
    } else if (event instanceof DispatcherEvent.ReportFailed e) {
      runners.reportFailed(e.runner(), e.why());
    } else if (event instanceof DispatcherEvent.ClaimAnswered e) {
      runners.claimAnswered(e, now);
    } else if (event instanceof DispatcherEvent.LeaseAnswered e) {
      runners.leaseAnswered(e, now);
    } else if (event instanceof DispatcherEvent.LoadAnswered e) {
      runners.loadAnswered(e, now);
    } else if (event instanceof DispatcherEvent.UnloadAnswered e) {
      runners.unloadAnswered(e, now);
    } else if (event instanceof DispatcherEvent.TurnAnswered e) {
      runners.turnAnswered(e, now);
    } else if (event instanceof DispatcherEvent.ServiceAnswered e) {
      services.answered(e);
    } else if (event instanceof DispatcherEvent.ServiceFailed e) {
      services.failed(e);
    } else if (event instanceof DispatcherEvent.Viewed e) {
      viewed(e, now);
    } else if (event instanceof DispatcherEvent.Closed e) {
      jobs.closed(e.connection());
      turns.closed(e.connection());
    } else if (event instanceof DispatcherEvent.Stop e) {
      stop(e.drained(), now);
    }
  }

  void tick(long nowMillis) {
    jobs.now(nowMillis);
    runners.tick(nowMillis);
    jobs.tick();
    turns.tick(nowMillis);
    if (nowMillis >= nextStatusMillis) {
      nextStatusMillis = nowMillis + STATUS_MILLIS;
      publishStatus(nowMillis);
    }
    Runnable waiting = drained;
    if (waiting != null && jobs.size() == 0 && services.size() == 0) {
      drained = null;
      waiting.run();
    }
  }

  private void received(WireConnection connection, Envelope message, long nowMillis) {
    long call = message.getCall();
    switch (message.getBodyCase()) {
      case INFERENCE -> jobs.received(connection, call, message.getInference());
      case CANCEL -> jobs.cancelled(connection, call);
      case SERVICE -> services.received(connection, call, message.getService(), nowMillis);
      case MINT -> services.mint(connection, call, message.getMint(), nowMillis);
      case LEASE -> leases.received(connection, call, message.getLease(), nowMillis);
      case LOAD_TURN -> turns.received(connection, call, message.getLoadTurn(), nowMillis);
      default -> log.warning("unexpected-message", "kind", message.getBodyCase());
    }
  }

  private void viewed(DispatcherEvent.Viewed event, long nowMillis) {
    if (view.apply(event.update())) {
      Fleet fleet = view.fleet();
      jobs.fleet(fleet);
      services.fleet(fleet);
      leases.fleet(fleet);
      turns.fleet(fleet);
      runners.fleet(fleet, nowMillis);
    }
    ready = view.isCaughtUp() && drained == null;
  }

  private void stop(Runnable whenDrained, long nowMillis) {
    ready = false;
    drained = whenDrained;
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
