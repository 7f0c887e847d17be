package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.sequoiahub.core.concurrency.RunPermits;
import org.sequoiahub.core.response.Completeness;
import org.sequoiahub.core.response.ResponseCompleteness;
import org.sequoiahub.core.response.SenderState;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerProbe;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.node.upstream.Outcome;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Finds out whether the runners of responses that ended with their connection outlived that end.
 *
 * <p>A runner is asked after the end; at most one question to a runner is in progress, which
 * answers for all responses that ended before it was sent. Decision thread only.
 */
final class EndVerification {

  /**
   * Time within which a runner must have shown that it still runs (ms). The caller has all events
   * by then and waits for the end only; a runner that is still there answers within milliseconds.
   */
  static final long TIME_LIMIT_MILLIS = 1_000;

  /** Timeout of one question (ms): several fit into the time limit, as connections may be reset. */
  private static final long PROBE_TIMEOUT_MILLIS = 300;

  /**
   * Time after a question without a result until the next one (ms). The port of a process that is
   * being terminated still accepts connections for a moment.
   */
  private static final long PROBE_PAUSE_MILLIS = 25;

  /** A response that waits for the result. */
  private record Waiting(long endedMillis, Consumer<SenderState> listener) {}

  /** The responses of one runner that wait. */
  private static final class Pending {
    final RunnerEntry runner;
    final List<Waiting> waiting = new ArrayList<>();
    boolean inProgress;
    long nextProbeMillis;

    Pending(RunnerEntry runner) {
      this.runner = runner;
    }
  }

  private final RunnerProbe probe;
  private final RunnerStates runnerStates;
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;
  private final MetricRegistry metrics;
  private final Histogram delayMillis;
  private final EventLog log;
  private final Map<String, Pending> pendingByRunner = new HashMap<>();

  /**
   * Creates a verification.
   *
   * @param decisionThread executes tasks on the decision thread
   * @param clock the monotonic time (ms)
   */
  EndVerification(
      RunnerProbe probe,
      RunnerStates runnerStates,
      Consumer<Runnable> decisionThread,
      LongSupplier clock,
      MetricRegistry metrics,
      EventLog log) {
    this.probe = requireNonNull(probe, "probe must not be null");
    this.runnerStates = requireNonNull(runnerStates, "runnerStates must not be null");
    this.decisionThread = requireNonNull(decisionThread, "decisionThread must not be null");
    this.clock = requireNonNull(clock, "clock must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.delayMillis = metrics.histogram("end_verification.delay_ms");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Returns whether it depends on the runner whether the response of an attempt is complete. */
  boolean isNeeded(Outcome outcome) {
    return (outcome instanceof Outcome.StreamCompleted stream
            && ResponseCompleteness.dependsOnSender(stream.framing()))
        || (outcome instanceof Outcome.Answered answered
            && ResponseCompleteness.dependsOnSender(answered.framing()));
  }

  /**
   * Decides on the outcome of an attempt whose response ended with its connection.
   *
   * @param decided receives the outcome as it is, or a lost response in its place, on the decision
   *     thread
   */
  void decide(
      Call call,
      Call.ActiveAttempt active,
      Outcome outcome,
      long nowMillis,
      Consumer<Outcome> decided) {
    metrics.counter("responses.ended_by_connection").inc();
    log.info(
        "response-ended-by-connection",
        "request",
        call.id(),
        "runner",
        active.runner.id(),
        "position",
        call.relay.position());
    verify(
        active.runner,
        nowMillis,
        sender -> {
          if (ResponseCompleteness.ofSender(sender) instanceof Completeness.Truncated truncated) {
            boolean terminated = sender == SenderState.TERMINATED;
            decided.accept(new Outcome.ResponseLost(truncated.reason(), terminated));
            return;
          }
          if (outcome instanceof Outcome.StreamCompleted && call.activeAttempts.contains(active)) {
            call.relay.streamCompleted(active.number);
          }
          decided.accept(outcome);
        });
  }

  /**
   * Asks a runner whose response has just ended.
   *
   * @param listener receives the state within {@link #TIME_LIMIT_MILLIS}, on the decision thread
   */
  void verify(RunnerEntry runner, long nowMillis, Consumer<SenderState> listener) {
    Pending pending = pendingByRunner.computeIfAbsent(runner.id(), id -> new Pending(runner));
    pending.waiting.add(new Waiting(nowMillis, listener));
    probeIfDue(pending, nowMillis);
  }

  /** Gives up the responses whose time limit has passed, and asks the runners that are due. */
  void tick(long nowMillis) {
    for (Pending pending : List.copyOf(pendingByRunner.values())) {
      settle(
          pending,
          waiting -> nowMillis - waiting.endedMillis >= TIME_LIMIT_MILLIS,
          SenderState.UNKNOWN,
          nowMillis);
      probeIfDue(pending, nowMillis);
    }
  }

  private void probeIfDue(Pending pending, long nowMillis) {
    RunnerEntry runner = pending.runner;
    if (pending.inProgress
        || pending.waiting.isEmpty()
        || nowMillis < pending.nextProbeMillis
        || !runnerStates.tryAcquireForHolder(runner.id(), CallKind.PROBE, nowMillis)) {
      return;
    }
    pending.inProgress = true;
    List<Waiting> covered = List.copyOf(pending.waiting);
    metrics.counter("end_verification.probes").inc();
    runnerStates.recordSent(runner.id(), CallKind.PROBE, nowMillis);
    probe.probe(
        runner,
        PROBE_TIMEOUT_MILLIS,
        state -> decisionThread.accept(() -> answered(pending, covered, state, clock.getAsLong())));
  }

  private void answered(Pending pending, List<Waiting> covered, SenderState state, long nowMillis) {
    runnerStates.recordEnded(pending.runner.id(), RunPermits.End.ANSWERED, nowMillis);
    pending.inProgress = false;
    if (state == SenderState.UNKNOWN) {
      pending.nextProbeMillis = nowMillis + PROBE_PAUSE_MILLIS;
    } else {
      boolean terminated = state == SenderState.TERMINATED;
      settle(pending, waiting -> terminated || covered.contains(waiting), state, nowMillis);
    }
    probeIfDue(pending, nowMillis);
  }

  private void settle(
      Pending pending, Predicate<Waiting> selected, SenderState state, long nowMillis) {
    List<Waiting> settled = pending.waiting.stream().filter(selected).toList();
    pending.waiting.removeAll(settled);
    if (pending.waiting.isEmpty() && !pending.inProgress) {
      pendingByRunner.remove(pending.runner.id());
    }
    for (Waiting waiting : settled) {
      long waitedMillis = nowMillis - waiting.endedMillis;
      delayMillis.update(waitedMillis);
      metrics.counter("end_verification." + state.name().toLowerCase(Locale.ROOT)).inc();
      if (state != SenderState.RUNNING) {
        log.info(
            "response-end-not-verified",
            "runner",
            pending.runner.id(),
            "state",
            state,
            "waited_ms",
            waitedMillis);
      }
      waiting.listener.accept(state);
    }
  }
}
