package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import java.util.function.BiFunction;
import org.sequoiahub.node.upstream.Attempt;
import org.sequoiahub.node.upstream.AttemptListener;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec;
import org.sequoiahub.usersplatform.HeaderCodec.RunnerHeaders;

/** Sends attempts to their runners, with what each runner needs to know about the request. */
final class AttemptSender {

  private final FleetView fleet;
  private final UpstreamClient upstreams;
  private final BiFunction<Call, Call.ActiveAttempt, AttemptListener> listeners;
  private final EventLog log;

  /**
   * Creates a sender.
   *
   * @param listeners returns the listener of each attempt
   */
  AttemptSender(
      FleetView fleet,
      UpstreamClient upstreams,
      BiFunction<Call, Call.ActiveAttempt, AttemptListener> listeners,
      EventLog log) {
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.upstreams = requireNonNull(upstreams, "upstreams must not be null");
    this.listeners = requireNonNull(listeners, "listeners must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Sends an attempt; the part of its stream that its caller has is not requested again. */
  Attempt send(Call call, Call.ActiveAttempt active, long nowMillis) {
    String lastEvent = expect(call, active);
    RunnerHeaders headers =
        new RunnerHeaders(
            active.runner.instance(),
            call.deadlineMillis() - nowMillis,
            call.generation == null ? -1 : call.priority(),
            fleet.newestVersion(call.adapter()),
            lastEvent.isEmpty() ? call.headers.lastEventId() : lastEvent,
            call.workspaceName(),
            call.permitted.table().workspaces().areConfigured());
    log.info(
        "request-sent",
        "request",
        call.id(),
        "runner",
        active.runner.id(),
        "send",
        active.number,
        "left_ms",
        call.deadlineMillis() - nowMillis,
        "unread",
        active.unreadTokens,
        "adapter",
        call.adapter(),
        "version",
        active.runner.version(),
        "after_ms",
        nowMillis - call.arrivedMillis);
    return upstreams.start(
        active.runner,
        call.exchange.method(),
        call.exchange.pathAndQuery(),
        call.id(),
        HeaderCodec.toRunner(call.exchange.headers(), headers),
        call.exchange.body(),
        call.route.repeatPolicy(),
        listeners.apply(call, active));
  }

  /** Prepares the relay for an attempt; returns the id of the event after which it goes on. */
  private static String expect(Call call, Call.ActiveAttempt active) {
    if (!call.route.repeatPolicy().isStream()) {
      return "";
    }
    return call.activeAttempts.size() > 1
        ? call.relay.expectStandby(active.number)
        : call.relay.expectAttempt(active.number);
  }
}
