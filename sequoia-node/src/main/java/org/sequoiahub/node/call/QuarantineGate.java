package org.sequoiahub.node.call;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.stream.Collectors;
import org.sequoiahub.core.quarantine.Hold;
import org.sequoiahub.core.quarantine.RequestFingerprint;
import org.sequoiahub.core.quarantine.RequestQuarantine;
import org.sequoiahub.core.quarantine.RunnerEnd;
import org.sequoiahub.core.quarantine.RunnerEndListener;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Records how the attempts of this host's requests end, and quarantines the requests during which
 * runners terminate.
 *
 * <p>Only the cheap half of a request's fingerprint is computed, unless a suspect request with the
 * same half is known. All methods must be called on the decision thread.
 */
public final class QuarantineGate {

  /**
   * An attempt that was abandoned without a response counts if its runner is found to have
   * terminated within this time (ms): the entry of a silent runner expires after 3.6 s, and the
   * hosts are notified within a further second.
   */
  private static final long UNANSWERED_RETENTION_MILLIS = 8_000;

  /**
   * Maximum number of unanswered attempts that are retained with their requests, whose fingerprint
   * is computed only when the runner has terminated. Under load callers may abandon thousands.
   */
  private static final int MAX_UNANSWERED = 128;

  /**
   * Interval between checks for confirmed terminations (ms); a broken connection counts for seconds
   * without confirmation.
   */
  private static final long MAINTENANCE_INTERVAL_MILLIS = 500;

  private final RequestQuarantine quarantine;
  private final RunnerRegistry runners;
  private final RunnerEndListener listener;
  private final MetricRegistry metrics;
  private final EventLog log;
  private final Deque<Unanswered> unanswered = new ArrayDeque<>();
  private long lastMaintenanceMillis;

  private record Unanswered(Call call, Call.ActiveAttempt running, long givenUpMillis) {}

  /**
   * Creates a gate.
   *
   * @param listener receives the observations that are passed on to the other hosts
   */
  public QuarantineGate(
      RequestQuarantine quarantine,
      RunnerRegistry runners,
      RunnerEndListener listener,
      MetricRegistry metrics,
      EventLog log) {
    this.quarantine = quarantine;
    this.runners = runners;
    this.listener = listener;
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns why and until when a request is quarantined; empty if it may be sent to a runner. */
  Optional<Hold> hold(Call call, long nowMillis) {
    return quarantine.mayKnow(call.fingerprint().screen())
        ? quarantine.hold(call.fingerprint().value(), nowMillis)
        : Optional.empty();
  }

  /**
   * Returns whether a runner recently terminated while it ran a request; a suspect request must not
   * be sent to two runners at once.
   */
  boolean isSuspect(Call call, long nowMillis) {
    return quarantine.mayKnow(call.fingerprint().screen())
        && quarantine.isSuspect(call.fingerprint().value(), nowMillis);
  }

  /** Logs and counts that a hold stopped a request, with the terminations that led to the hold. */
  void recordHold(Call call, Hold hold, long nowMillis) {
    metrics.counter("requests.held_back").inc();
    log.info(
        "request-held-back",
        "request",
        call.id(),
        "fingerprint",
        RequestFingerprint.text(call.fingerprint().value()),
        "caller",
        call.exchange.callerIp(),
        "ends",
        hold.ends().stream().map(end -> describe(end, nowMillis)).collect(Collectors.joining(" ")),
        "for_ms",
        hold.untilMillis() - nowMillis);
  }

  /** Records that the connection of an attempt broke before the response was complete. */
  void recordBrokenConnection(Call call, Call.ActiveAttempt active, long nowMillis) {
    if (isLeaving(active.runner)) {
      return;
    }
    boolean confirmed = runners.hasEnded(active.runner.idHash());
    recordTermination(termination(call, active, nowMillis, confirmed), nowMillis);
  }

  /** Records that a connection to a runner's address was refused, so its process has terminated. */
  void recordConnectionRefused(RunnerEntry runner, long nowMillis) {
    runners.noteEnded(runner, nowMillis);
  }

  /** Records that an attempt was abandoned without a response; its runner may be silent. */
  void recordUnanswered(Call call, Call.ActiveAttempt active, long nowMillis) {
    boolean sent = active.attempt != null && active.attempt.isHandedOn();
    if (!sent || isLeaving(active.runner)) {
      return;
    }
    unanswered.addLast(new Unanswered(call, active, nowMillis));
    if (unanswered.size() > MAX_UNANSWERED) {
      unanswered.removeFirst();
    }
  }

  /** Records that a request received a successful response. */
  void recordSuccess(Call call, long nowMillis) {
    quarantine.answered(call.fingerprint().screen(), nowMillis);
    if (quarantine.mayKnow(call.fingerprint().screen())
        && quarantine.cleared(call.fingerprint().value(), nowMillis)) {
      listener.cleared(call.fingerprint().value(), nowMillis, nowMillis);
    }
  }

  /** Confirms terminations of runners, and removes expired records; call it periodically. */
  public void runMaintenance(long nowMillis) {
    if (nowMillis - lastMaintenanceMillis < MAINTENANCE_INTERVAL_MILLIS) {
      return;
    }
    lastMaintenanceMillis = nowMillis;
    for (Iterator<Unanswered> attempts = unanswered.iterator(); attempts.hasNext(); ) {
      Unanswered attempt = attempts.next();
      if (runners.hasEnded(attempt.running.runner.idHash())) {
        attempts.remove();
        recordTermination(
            termination(attempt.call, attempt.running, attempt.givenUpMillis, true), nowMillis);
      } else if (nowMillis - attempt.givenUpMillis >= UNANSWERED_RETENTION_MILLIS) {
        attempts.remove();
      }
    }
    if (!quarantine.isEmpty()) {
      quarantine.confirm(runners::hasEnded);
      quarantine.forget(nowMillis);
    }
  }

  /** Returns whether a runner announced that it leaves; no request causes its termination then. */
  private boolean isLeaving(RunnerEntry runner) {
    return runners
        .find(runner.instance())
        .filter(entry -> entry.incarnation().equals(runner.incarnation()))
        .map(RunnerEntry::leaving)
        .orElse(false);
  }

  private void recordTermination(RunnerEnd end, long nowMillis) {
    if (!quarantine.ended(end, nowMillis)) {
      return;
    }
    metrics.counter("quarantine.ends").inc();
    listener.ended(end, nowMillis);
    quarantine
        .hold(end.request(), nowMillis)
        .ifPresent(
            hold ->
                log.warning(
                    "request-quarantined",
                    "fingerprint",
                    RequestFingerprint.text(end.request()),
                    "ends",
                    hold.ends().size(),
                    "for_ms",
                    hold.untilMillis() - nowMillis));
  }

  private static RunnerEnd termination(
      Call call, Call.ActiveAttempt active, long endedMillis, boolean confirmed) {
    return new RunnerEnd(
        call.fingerprint().value(),
        active.runner.idHash(),
        Math.min(active.startedMillis, endedMillis),
        endedMillis,
        active.firstEventReceived,
        confirmed);
  }

  private String describe(RunnerEnd end, long nowMillis) {
    String runner =
        runners.ended(end.runner()).orElseGet(() -> RequestFingerprint.text(end.runner()));
    return runner
        + "@"
        + (nowMillis - end.endedMillis())
        + "ms"
        + (end.begun() ? "(begun)" : "")
        + (end.confirmed() ? "" : "(unconfirmed)");
  }
}
