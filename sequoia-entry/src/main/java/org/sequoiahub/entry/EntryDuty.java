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

/** Hands each event to the part that it is for; all state lives on one thread. */
final class EntryDuty {

  private static final long STATUS_MILLIS = 200;
  private static final long RETRY_AFTER_MILLIS = 500;

  private final EntrySettings settings;
  private final LocalView view;
  private final InFlightRequests flights;
  private final ServiceFrontEnd services;
  private final DispatcherDirectory dispatchers;
  private final MonotonicClock clock;
  private final EventLog log;
  private @Nullable Runnable drained;
  private boolean stopping;
  private long nextStatusMillis = Long.MIN_VALUE;
  private volatile boolean ready;
  private volatile Map<String, Object> status = Map.of();

  EntryDuty(
      EntrySettings settings,
      LocalView view,
      InFlightRequests flights,
      ServiceFrontEnd services,
      DispatcherDirectory dispatchers,
      MonotonicClock clock,
      MetricRegistry metrics,
      EventLog log) {
    this.settings = settings;
    this.view = view;
    this.flights = flights;
    this.services = services;
    this.dispatchers = dispatchers;
    this.clock = clock;
    this.log = log;
    metrics.register("requests.in_progress", (Gauge<Object>) flights::size);
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

  void handle(EntryEvent event) {
    long now = clock.nowMillis();
    flights.now(now);
    if (event instanceof EntryEvent.FlightMessage e) {
      flights.message(e);
    } else if (event instanceof EntryEvent.Inference e) {
      if (admits(e.caller())) {
        flights.begin(e);
      }
    } else if (event instanceof EntryEvent.Service e) {
      if (admits(e.caller())) {
        services.call(e, now);
      }
    } else if (event instanceof EntryEvent.Address e) {
      services.address(e, now);
    } else if (event instanceof EntryEvent.FlightLost e) {
      flights.lost(e);
    } else if (event instanceof EntryEvent.Then e) {
      e.work().run();
    } else if (event instanceof EntryEvent.Viewed e) {
      viewed(e);
    } else if (event instanceof EntryEvent.Stop e) {
      ready = false;
      stopping = true;
      services.stop();
      drained = e.drained();
    }
  }

  void tick(long nowMillis) {
    flights.now(nowMillis);
    flights.tick();
    if (nowMillis >= nextStatusMillis) {
      nextStatusMillis = nowMillis + STATUS_MILLIS;
      publishStatus();
    }
    Runnable waiting = drained;
    if (waiting != null && flights.size() == 0 && services.size() == 0) {
      drained = null;
      waiting.run();
    }
  }

  private void viewed(EntryEvent.Viewed event) {
    if (view.apply(event.update())) {
      dispatchers.fleet(view.fleet(), Endpoint.of(settings.getWatcher()));
    }
    ready = view.isCaughtUp() && !stopping;
  }

  private boolean admits(CallerContext caller) {
    String reason = null;
    String message = "";
    if (stopping) {
      reason = "stopping";
      message = "this host is stopping; use another address" + otherAddress();
    } else if (!view.isCaughtUp()) {
      reason = "not-ready";
      message = "this host has not caught up with its peers; use another address";
    } else if (flights.size() >= settings.getMaxInFlight()) {
      reason = "overloaded";
      message = "this host holds max_in_flight requests; use another address" + otherAddress();
    }
    if (reason == null) {
      return true;
    }
    caller.span().end();
    caller
        .reply()
        .notRun(
            HttpStatus.SERVICE_UNAVAILABLE_503, new NotRun(reason, message, RETRY_AFTER_MILLIS));
    return false;
  }

  private String otherAddress() {
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
    next.put("requests", flights.size());
    next.put("service_calls", services.size());
    next.put("revision", view.records().highestRevision());
    next.put("records", view.records().size());
    next.put("hosts_revision", view.fleet().revision());
    status = next;
  }
}
