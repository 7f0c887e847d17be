package org.sequoiahub.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.verdict.Verdict.NotRun;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.settings.EntrySettings;
import org.sequoiahub.wire.LocalView;

/**
 * Dispatches the entry's events to their handlers.
 *
 * <p>All state is confined to the duty's thread, except the readiness and the status, which any
 * thread may read.
 */
final class EntryDuty {

  private static final long STATUS_INTERVAL_MILLIS = 200;
  private static final long RETRY_AFTER_MILLIS = 500;

  private final EntrySettings settings;
  private final LocalView view;
  private final InFlightRequests requests;
  private final ServiceFrontEnd services;
  private final DispatcherDirectory dispatchers;
  private final MonotonicClock clock;
  private final EventLog log;
  private @Nullable Runnable onDrained;
  private boolean stopping;
  private long nextStatusMillis = Long.MIN_VALUE;
  private volatile boolean ready;
  private volatile Map<String, Object> status = Map.of();

  EntryDuty(
      EntrySettings settings,
      LocalView view,
      InFlightRequests requests,
      ServiceFrontEnd services,
      DispatcherDirectory dispatchers,
      MonotonicClock clock,
      MetricRegistry metrics,
      EventLog log) {
    this.settings = settings;
    this.view = view;
    this.requests = requests;
    this.services = services;
    this.dispatchers = dispatchers;
    this.clock = clock;
    this.log = log;
    metrics.register("requests.in_progress", (Gauge<Object>) requests::size);
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

  void handle(EntryEvent event) {
    long now = clock.nowMillis();
    requests.setNowMillis(now);
    if (event instanceof EntryEvent.MessageReceived e) {
      requests.handleMessage(e);
    } else if (event instanceof EntryEvent.Inference e) {
      if (admits(e.caller())) {
        requests.begin(e);
      }
    } else if (event instanceof EntryEvent.Service e) {
      if (admits(e.caller())) {
        services.handleCall(e, now);
      }
    } else if (event instanceof EntryEvent.Address e) {
      services.handleAddress(e, now);
    } else if (event instanceof EntryEvent.ConnectionLost e) {
      requests.connectionLost(e);
    } else if (event instanceof EntryEvent.CallCompleted e) {
      e.handler().run();
    } else if (event instanceof EntryEvent.ViewUpdated e) {
      applyViewUpdate(e);
    } else if (event instanceof EntryEvent.Stop e) {
      ready = false;
      stopping = true;
      services.stop();
      onDrained = e.onDrained();
    }
  }

  void tick(long nowMillis) {
    requests.setNowMillis(nowMillis);
    requests.tick();
    if (nowMillis >= nextStatusMillis) {
      nextStatusMillis = nowMillis + STATUS_INTERVAL_MILLIS;
      publishStatus();
    }
    Runnable callback = onDrained;
    if (callback != null && requests.size() == 0 && services.size() == 0) {
      onDrained = null;
      callback.run();
    }
  }

  private void applyViewUpdate(EntryEvent.ViewUpdated event) {
    if (view.apply(event.update())) {
      dispatchers.updateFleet(view.fleet(), Endpoint.of(settings.getWatcher()));
    }
    ready = view.isCaughtUp() && !stopping;
  }

  /** Returns whether a new request is admitted. If not, sends the refusal to the caller. */
  private boolean admits(CallerContext caller) {
    String reason = null;
    String message = "";
    if (stopping) {
      reason = "stopping";
      message = "this host is stopping; use another address" + alternativeAddressHint();
    } else if (!view.isCaughtUp()) {
      reason = "not-ready";
      message = "this host has not caught up with its peers; use another address";
    } else if (requests.size() >= settings.getMaxInFlight()) {
      reason = "overloaded";
      message =
          "this host has reached its limit of max_in_flight requests; use another address"
              + alternativeAddressHint();
    }
    if (reason == null) {
      return true;
    }
    caller.span().end();
    caller
        .reply()
        .sendNotRun(
            HttpStatus.SERVICE_UNAVAILABLE_503, new NotRun(reason, message, RETRY_AFTER_MILLIS));
    return false;
  }

  private String alternativeAddressHint() {
    return view.fleet().liveHosts().stream()
        .filter(host -> !host.id().equals(settings.getHostId()))
        .findAny()
        .map(host -> ", such as " + host.address() + ":" + host.entryPort())
        .orElse("");
  }

  private void publishStatus() {
    Map<String, Object> next = new LinkedHashMap<>();
    next.put("host", settings.getHostId());
    next.put("ready", ready);
    next.put("requests", requests.size());
    next.put("service_calls", services.size());
    next.put("revision", view.records().highestRevision());
    next.put("records", view.records().size());
    next.put("hosts_revision", view.fleet().revision());
    status = next;
  }
}
