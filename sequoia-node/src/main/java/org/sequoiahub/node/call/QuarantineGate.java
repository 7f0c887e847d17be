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
 * Watches how the attempts of this host's requests end, and holds back the requests under which
 * runners end; decision thread only.
 *
 * <p>Of each request only the cheap half of the fingerprint is worked out, unless something is
 * known against one with the same half.
 */
public final class QuarantineGate {

  /**
   * An attempt that was given up without an answer counts if its runner turns out to have ended
   * within this time (ms): a silent runner's entry lapses after 3.6 s, and hosts learn of it within
   * a second more.
   */
  private static final long UNANSWERED_RETENTION_MILLIS = 8_000;

  /**
   * Attempts that are remembered at most for that, with their requests, whose fingerprint is worked
   * out only when the runner has ended: callers may give up thousands under load.
   */
  private static final int MAX_UNANSWERED = 128;

  /** Proofs are looked for this often (ms); a broken connection counts without one for seconds. */
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
   * @param listener told what the other hosts need to know
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

  /** Returns why a request may not be sent to a runner now; empty if it may. */
  Optional<Hold> hold(Call call, long nowMillis) {
    return quarantine.mayKnow(call.fingerprint().screen())
        ? quarantine.hold(call.fingerprint().value(), nowMillis)
        : Optional.empty();
  }

  /** Returns whether a runner ended under a request lately: it is not sent to two at once. */
  boolean isSuspect(Call call, long nowMillis) {
    return quarantine.mayKnow(call.fingerprint().screen())
        && quarantine.isSuspect(call.fingerprint().value(), nowMillis);
  }

  /** Logs and counts that a request was held back, with all that decided it. */
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

  /** Records that the connection of an attempt broke before the answer was whole. */
  void recordBrokenConnection(Call call, Call.ActiveAttempt active, long nowMillis) {
    if (isLeaving(active.runner)) {
      return;
    }
    boolean proved = runners.hasEnded(active.runner.idHash());
    recordTermination(termination(call, active, nowMillis, proved), nowMillis);
  }

  /** Records that nobody listens at a runner's address: its process has ended. */
  void recordConnectionRefused(RunnerEntry runner, long nowMillis) {
    runners.noteEnded(runner, nowMillis);
  }

  /** Records that an attempt was given up without an answer: its runner may have gone silent. */
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

  /** Records that a request had a good answer. */
  void recordSuccess(Call call, long nowMillis) {
    quarantine.answered(call.fingerprint().screen(), nowMillis);
    if (quarantine.mayKnow(call.fingerprint().screen())
        && quarantine.cleared(call.fingerprint().value(), nowMillis)) {
      listener.cleared(call.fingerprint().value(), nowMillis, nowMillis);
    }
  }

  /** Looks for proofs that runners have ended, and forgets what is old. */
  public void runMaintenance(long nowMillis) {
    if (nowMillis - lastMaintenanceMillis < MAINTENANCE_INTERVAL_MILLIS) {
      return;
    }
    lastMaintenanceMillis = nowMillis;
    for (Iterator<Unanswered> all = unanswered.iterator(); all.hasNext(); ) {
      Unanswered attempt = all.next();
      if (runners.hasEnded(attempt.running.runner.idHash())) {
        all.remove();
        recordTermination(termination(attempt.call, attempt.running, attempt.givenUpMillis, true), nowMillis);
      } else if (nowMillis - attempt.givenUpMillis >= UNANSWERED_RETENTION_MILLIS) {
        all.remove();
      }
    }
    if (!quarantine.isEmpty()) {
      quarantine.confirm(runners::hasEnded);
      quarantine.forget(nowMillis);
    }
  }

  /** A runner that announced its leaving ends as planned, and not because of a request. */
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
        + (end.confirmed() ? "" : "(not proved)");
  }
}
