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
  private static final long SILENT_MILLIS = 8_000;

  /**
   * Attempts that are remembered at most for that, with their requests, whose fingerprint is worked
   * out only when the runner has ended: callers may give up thousands under load.
   */
  private static final int MAX_SILENT = 128;

  /** Proofs are looked for this often (ms); a broken connection counts without one for seconds. */
  private static final long UPKEEP_MILLIS = 500;

  private final RequestQuarantine quarantine;
  private final RunnerRegistry runners;
  private final RunnerEndListener listener;
  private final MetricRegistry metrics;
  private final EventLog log;
  private final Deque<Unanswered> silent = new ArrayDeque<>();
  private long upkeepMillis;

  private record Unanswered(Call call, Call.Running running, long givenUpMillis) {}

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
  void heldBack(Call call, Hold hold, long nowMillis) {
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
        hold.ends().stream().map(end -> text(end, nowMillis)).collect(Collectors.joining(" ")),
        "for_ms",
        hold.untilMillis() - nowMillis);
  }

  /** Records that the connection of an attempt broke before the answer was whole. */
  void broken(Call call, Call.Running running, long nowMillis) {
    if (isLeaving(running.runner)) {
      return;
    }
    boolean proved = runners.hasEnded(running.runner.idHash());
    ended(end(call, running, nowMillis, proved), nowMillis);
  }

  /** Records that nobody listens at a runner's address: its process has ended. */
  void nobodyListens(RunnerEntry runner, long nowMillis) {
    runners.noteEnded(runner, nowMillis);
  }

  /** Records that an attempt was given up without an answer: its runner may have gone silent. */
  void unanswered(Call call, Call.Running running, long nowMillis) {
    boolean sent = running.attempt != null && running.attempt.mayHaveReachedRunner();
    if (!sent || isLeaving(running.runner)) {
      return;
    }
    silent.addLast(new Unanswered(call, running, nowMillis));
    if (silent.size() > MAX_SILENT) {
      silent.removeFirst();
    }
  }

  /** Records that a request had a good answer. */
  void answered(Call call, long nowMillis) {
    quarantine.answered(call.fingerprint().screen(), nowMillis);
    if (quarantine.mayKnow(call.fingerprint().screen())
        && quarantine.cleared(call.fingerprint().value(), nowMillis)) {
      listener.cleared(call.fingerprint().value(), nowMillis, nowMillis);
    }
  }

  /** Looks for proofs that runners have ended, and forgets what is old. */
  public void upkeep(long nowMillis) {
    if (nowMillis - upkeepMillis < UPKEEP_MILLIS) {
      return;
    }
    upkeepMillis = nowMillis;
    for (Iterator<Unanswered> all = silent.iterator(); all.hasNext(); ) {
      Unanswered attempt = all.next();
      if (runners.hasEnded(attempt.running.runner.idHash())) {
        all.remove();
        ended(end(attempt.call, attempt.running, attempt.givenUpMillis, true), nowMillis);
      } else if (nowMillis - attempt.givenUpMillis >= SILENT_MILLIS) {
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

  private void ended(RunnerEnd end, long nowMillis) {
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

  private static RunnerEnd end(
      Call call, Call.Running running, long endedMillis, boolean confirmed) {
    return new RunnerEnd(
        call.fingerprint().value(),
        running.runner.idHash(),
        Math.min(running.startedMillis, endedMillis),
        endedMillis,
        running.firstEventSeen,
        confirmed);
  }

  private String text(RunnerEnd end, long nowMillis) {
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
