package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.dispatch.GenerationPlacement;
import org.sequoiahub.core.dispatch.StreamLimits;
import org.sequoiahub.core.routing.RepeatPolicy;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Seeks a second runner for resumable streams whose runner is silent.
 *
 * <p>Silence does not tell a paused runner from one that has gone. The first attempt therefore goes
 * on until the second one has taken the stream up, and the one that makes the next event first
 * wins. While no second runner is ready, the request waits at one for its adapter or its turn.
 *
 * <p>Its methods must be called on the decision thread.
 */
final class SilentStreams {

  /**
   * Time without an event, beyond the pause that its route accepts, after which a second runner is
   * sought (ms).
   */
  static final long SILENCE_MILLIS = 1_500;

  /** Interval between two searches for a second runner while there is none to wait at (ms). */
  static final long SEARCH_INTERVAL_MILLIS = 100;

  private final FleetView fleet;
  private final CandidateSelector selector;
  private final GenerationPlacement placement;
  private final WaitingCalls waitingCalls;
  private final RetryGate retryGate;
  private final Attempts attempts;
  private final MetricRegistry metrics;
  private final EventLog log;

  /** Makes and ends attempts. */
  interface Attempts {

    /** Returns whether a request may be sent to a second runner now. */
    boolean maySend(Call call, long nowMillis);

    /**
     * Passes a request on if this host has lost its path to the runners and another one can take
     * it.
     *
     * @return whether the path is lost
     */
    boolean passOnIfPathLost(Call call, Call.ActiveAttempt attempt, long nowMillis);

    /** Takes the right to send a request to a candidate now, or requests a permit. */
    boolean tryAcquire(Call call, Candidate candidate, long nowMillis);

    /** Sends a request to the chosen runner, beside its active attempt. */
    void start(Call call, GenerationPlacement.Choice choice, long nowMillis);

    /** Cancels an attempt. */
    void cancel(Call call, Call.ActiveAttempt attempt, String reason, long nowMillis);
  }

  SilentStreams(
      FleetView fleet,
      CandidateSelector selector,
      GenerationPlacement placement,
      WaitingCalls waitingCalls,
      RetryGate retryGate,
      Attempts attempts,
      MetricRegistry metrics,
      EventLog log) {
    this.fleet = requireNonNull(fleet, "fleet must not be null");
    this.selector = requireNonNull(selector, "selector must not be null");
    this.placement = requireNonNull(placement, "placement must not be null");
    this.waitingCalls = requireNonNull(waitingCalls, "waitingCalls must not be null");
    this.retryGate = requireNonNull(retryGate, "retryGate must not be null");
    this.attempts = requireNonNull(attempts, "attempts must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Checks a stream with an active attempt; call it at each tick. */
  void check(Call call, long nowMillis) {
    settle(call, nowMillis);
    if (call.route.repeatPolicy() != RepeatPolicy.RESUMABLE_STREAM
        || call.activeAttempts.size() != 1) {
      return;
    }
    Call.ActiveAttempt active = call.activeAttempts.get(0);
    long progress = Math.max(active.startedMillis, call.relay.lastChunkMillis());
    long silent = call.silence.check(progress, nowMillis);
    if (silent < silenceLimitMillis(call, active)) {
      if (call.silenceReported && progress > call.silentSinceMillis) {
        call.silenceReported = false;
        waitingCalls.stopWaiting(call);
      }
      return;
    }
    if (!call.silenceReported) {
      report(call, active, silent, progress, nowMillis);
      fleet.health(active.runner).silent(nowMillis);
    }
    if (attempts.passOnIfPathLost(call, active, nowMillis)) {
      return;
    }
    boolean due =
        call.waitingAt == null
            ? nowMillis >= call.nextPlacementMillis
            : waitingCalls.isPlacementDue(call, nowMillis);
    if (due) {
      call.nextPlacementMillis = nowMillis + SEARCH_INTERVAL_MILLIS;
      seek(call, nowMillis);
    }
  }

  /** Returns the silence after which a second runner is sought (ms). */
  private static long silenceLimitMillis(Call call, Call.ActiveAttempt active) {
    long limit = SILENCE_MILLIS + call.route.maxEventGapMillis();
    boolean begun = call.relay.lastChunkMillis(active.number) > 0;
    return begun ? limit : limit + active.firstTokenMillis;
  }

  private void report(
      Call call, Call.ActiveAttempt active, long silent, long progress, long nowMillis) {
    call.silenceReported = true;
    call.silentSinceMillis = progress;
    metrics.counter("streams.silent").inc();
    log.info(
        "stream-silent",
        "request",
        call.id(),
        "runner",
        active.runner.id(),
        "silent_ms",
        silent,
        "since_ms",
        nowMillis - progress,
        "events",
        call.relay.wholeEvents(),
        "left_ms",
        call.deadlineMillis() - nowMillis);
  }

  /** Sends a request to a second runner that is ready for it, or waits at one. */
  private void seek(Call call, long nowMillis) {
    Generation generation = call.generation;
    call.retryAccount.recordRunnerReached();
    if (generation == null
        || !call.mayAddAttempt()
        || !attempts.maySend(call, nowMillis)
        || !retryGate.mayResume(call, nowMillis)) {
      waitingCalls.stopWaiting(call);
      return;
    }
    StreamLimits limits = selector.streamLimits(call, nowMillis);
    Optional<GenerationPlacement.Choice> choice =
        placement
            .choose(
                generation,
                limits,
                selector.candidates(call, generation, nowMillis),
                call.waitingAtId())
            .filter(best -> canBeginInTime(call, best, nowMillis));
    if (choice.isEmpty()) {
      waitingCalls.stopWaiting(call);
      return;
    }
    Candidate candidate = choice.get().candidate();
    boolean ready =
        candidate.heldOrLoading()
            && candidate.adapterWaitMillis() <= 0
            && placement.mayStartReading(candidate, limits);
    if (ready && attempts.tryAcquire(call, candidate, nowMillis)) {
      attempts.start(call, choice.get(), nowMillis);
    } else {
      waitingCalls.waitAt(call, candidate, nowMillis);
    }
  }

  private static boolean canBeginInTime(
      Call call, GenerationPlacement.Choice choice, long nowMillis) {
    double beginMillis =
        Math.max(choice.firstTokenMillis(), (double) choice.candidate().sendWaitMillis());
    return nowMillis + beginMillis <= call.deadlineMillis();
  }

  /** Returns whether an attempt that has ended stood by while another one goes on. */
  boolean isStandby(Call call, Call.ActiveAttempt ended) {
    return call.route.repeatPolicy().isStream()
        && !call.activeAttempts.isEmpty()
        && ended.number != call.relay.currentAttempt();
  }

  /**
   * Records that an attempt has failed, and returns whether another one goes on. Runners that could
   * not take a stream up beside its first one may do so once that has failed.
   */
  boolean goesOnAfter(Call call, Call.ActiveAttempt failed, long nowMillis) {
    final boolean stoodBy = isStandby(call, failed);
    call.relay.attemptFailed(failed.number);
    settle(call, nowMillis);
    if (call.activeAttempts.isEmpty()) {
      call.excludedRunners.removeAll(call.triedBeside);
      return false;
    }
    if (stoodBy) {
      call.triedBeside.add(failed.runner.id());
    }
    return true;
  }

  /** Gives up attempts whose events are not relayed any more, as another one goes on. */
  void settle(Call call, long nowMillis) {
    if (!call.route.repeatPolicy().isStream()
        || call.activeAttempts.isEmpty()
        || call.relay.hasStandby()) {
      return;
    }
    int winner = call.relay.currentAttempt();
    for (Call.ActiveAttempt active : List.copyOf(call.activeAttempts)) {
      if (active.number != winner) {
        boolean wasFirst = active.number < winner;
        metrics.counter(wasFirst ? "streams.taken_over" : "streams.gone_on").inc();
        log.info(
            wasFirst ? "stream-taken-over" : "stream-gone-on",
            "request",
            call.id(),
            "given_up",
            active.runner.id(),
            "left_ms",
            call.deadlineMillis() - nowMillis);
        attempts.cancel(call, active, "another runner made the next event", nowMillis);
        if (!wasFirst) {
          call.triedBeside.add(active.runner.id());
        }
      }
    }
  }
}
