package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahub.core.response.Completeness;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.runnerstate.RunnerSignals;
import org.sequoiahub.node.reach.RunnerPathMonitor;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.node.upstream.AttemptListener;
import org.sequoiahub.node.upstream.Outcome;

/** Relays chunks to the caller at once and passes all other events to the decision thread. */
final class RelayingAttemptListener implements AttemptListener {

  private final Call call;
  private final Call.ActiveAttempt active;
  private final RunnerPathMonitor runnerPath;
  private final RunnerStates runnerStates;
  private final Events events;
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;

  /** Receives the events of attempts, on the decision thread. */
  interface Events {

    /** Called when the first event of a stream has gone to the caller. */
    void onFirstEvent(Call call, Call.ActiveAttempt active);

    /** Called when an attempt has ended. */
    void onEnded(Call call, Call.ActiveAttempt active, Outcome outcome);
  }

  RelayingAttemptListener(
      Call call,
      Call.ActiveAttempt active,
      RunnerPathMonitor runnerPath,
      RunnerStates runnerStates,
      Events events,
      Consumer<Runnable> decisionThread,
      LongSupplier clock) {
    this.call = requireNonNull(call, "call must not be null");
    this.active = requireNonNull(active, "active must not be null");
    this.runnerPath = requireNonNull(runnerPath, "runnerPath must not be null");
    this.runnerStates = requireNonNull(runnerStates, "runnerStates must not be null");
    this.events = requireNonNull(events, "events must not be null");
    this.decisionThread = requireNonNull(decisionThread, "decisionThread must not be null");
    this.clock = requireNonNull(clock, "clock must not be null");
  }

  @Override
  public void signalsReceived(RunnerSignals signals) {
    runnerPath.responseReceived();
    active.statedLoad = signals.load().orElse(null);
    if (runnerStates.isRelevant(signals)) {
      decisionThread.accept(
          () ->
              runnerStates.responseReceived(
                  active.runner.id(), signals, active.startedMillis, clock.getAsLong()));
    }
  }

  @Override
  public void streamStarted(int status, HttpFields headers) {
    call.relay.start(active.number, status, headers, active.runner.version());
  }

  @Override
  public boolean streamContent(ByteBuffer chunk) {
    runnerPath.responseReceived();
    if (call.relay.relayChunk(active.number, chunk, clock.getAsLong())) {
      decisionThread.accept(() -> events.onFirstEvent(call, active));
    }
    return !call.relay.isEventTooLong(active.number);
  }

  @Override
  public void ended(Outcome outcome) {
    Outcome verified = verify(outcome);
    decisionThread.accept(() -> events.onEnded(call, active, verified));
  }

  /** Returns a stream that was truncated as a lost response, and other outcomes unchanged. */
  private Outcome verify(Outcome outcome) {
    return outcome instanceof Outcome.StreamCompleted completed
            && call.relay.completeness(active.number, completed.framing())
                instanceof Completeness.Truncated truncated
        ? new Outcome.ResponseLost(
            truncated.reason(), completed.framing() == Framing.CONNECTION_END)
        : outcome;
  }
}
