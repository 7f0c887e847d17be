package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.response.Completeness;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.forward.ForwardListener;
import org.sequoiahub.node.forward.ForwardOutcome;
import org.sequoiahub.node.forward.HostSelector;
import org.sequoiahub.node.forward.RequestForwarder;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Passes requests on to other hosts while this host has lost its path to the runners.
 *
 * <p>The other host serves such a request as one of its own, with the time that is left, and never
 * passes it on again. This host has counted the request and charged its workspace; the other one
 * charges the retries that it makes. Whether the request has run follows from the other host's
 * response, and a lost response may have run.
 *
 * <p>Its methods must be called on the decision thread.
 */
final class RequestForwarding {

  /** Maximum number of hosts that a request is passed on to, one after the other. */
  private static final int MAX_HOSTS = 3;

  /** Retry-After when no host reaches the runners (ms): two rounds of probes take no longer. */
  private static final long NO_HOST_RETRY_AFTER_MILLIS = 1_000;

  /** Retry-After of a request that the other host's configuration does not admit yet (ms). */
  private static final long NOT_ADMITTED_RETRY_AFTER_MILLIS = 300;

  private static final Verdict CANCELLED =
      new Verdict.MayHaveRun("cancelled", "another host may have sent it already");

  private final HostSelector hosts;
  private final RequestForwarder forwarder;
  private final CallEndings endings;
  private final Consumer<Runnable> decisionThread;
  private final LongSupplier clock;
  private final MetricRegistry metrics;
  private final EventLog log;

  /** What becomes of a request when an attempt of another host has ended. */
  interface CallEndings {

    /** Places a request again. */
    void place(Call call, long nowMillis);

    /** Ends a request that cannot be served, with a status that tells whether it may have run. */
    void fail(Call call, String reason, long retryAfterMillis);

    /** Ends a request whose response is complete. */
    void finish(Call call, int status, String reason, long nowMillis);

    /** Records a successful response. */
    void succeeded(Call call, long nowMillis);
  }

  RequestForwarding(
      HostSelector hosts,
      RequestForwarder forwarder,
      CallEndings endings,
      Consumer<Runnable> decisionThread,
      LongSupplier clock,
      MetricRegistry metrics,
      EventLog log) {
    this.hosts = requireNonNull(hosts, "hosts must not be null");
    this.forwarder = requireNonNull(forwarder, "forwarder must not be null");
    this.endings = requireNonNull(endings, "endings must not be null");
    this.decisionThread = requireNonNull(decisionThread, "decisionThread must not be null");
    this.clock = requireNonNull(clock, "clock must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Returns whether another host can serve a request. */
  boolean canForward(Call call, long nowMillis) {
    return selectHost(call, nowMillis).isPresent();
  }

  private Optional<HostSelector.Host> selectHost(Call call, long nowMillis) {
    return call.isFromOtherHost() || call.excludedHosts.size() >= MAX_HOSTS
        ? Optional.empty()
        : hosts.select(call.excludedHosts, nowMillis);
  }

  /** Passes a request on, or rejects it at once if no other host can serve it. */
  void forward(Call call, long nowMillis) {
    Optional<HostSelector.Host> host = selectHost(call, nowMillis);
    if (host.isEmpty()) {
      metrics.counter("forwarding.rejected").inc();
      endings.fail(
          call,
          "this host has lost its path to the runners, and no other host can serve the request",
          NO_HOST_RETRY_AFTER_MILLIS);
      return;
    }
    Call.ForwardedAttempt attempt =
        new Call.ForwardedAttempt(call.sends.begin(), host.get().name());
    // The other host counts the sends before this one.
    final int priorRuns = call.sends.possibleRuns();
    call.forwarded = attempt;
    call.relay.expectAttempt(attempt.number);
    metrics.counter("forwarding.sent").inc();
    log.info(
        "request-passed-on",
        "request",
        call.id(),
        "to",
        attempt.host,
        "left_ms",
        call.deadlineMillis() - nowMillis,
        "runs",
        priorRuns);
    attempt.request =
        forwarder.forward(
            call.exchange,
            host.get().ip(),
            call.deadlineMillis() - nowMillis,
            priorRuns,
            call.relay.lastEventId(),
            call.requiredVersion,
            new Listener(call, attempt));
  }

  /** Cancels the attempt of another host, if there is one. */
  void cancel(Call call) {
    Call.ForwardedAttempt attempt = call.forwarded;
    if (attempt != null) {
      call.forwarded = null;
      call.sends.end(attempt.number, CANCELLED);
      if (attempt.request != null) {
        attempt.request.cancel();
      }
    }
  }

  private void onEnded(Call call, Call.ForwardedAttempt attempt, ForwardOutcome outcome) {
    if (call.done || call.forwarded != attempt) {
      return;
    }
    call.forwarded = null;
    call.sends.end(attempt.number, outcome.verdict());
    long now = clock.getAsLong();
    if (outcome instanceof ForwardOutcome.StreamCompleted) {
      call.relay.complete();
      endings.succeeded(call, now);
      endings.finish(call, HttpStatus.OK_200, "", now);
    } else if (outcome instanceof ForwardOutcome.Answered answered) {
      onAnswer(call, answered, now);
    } else if (outcome instanceof ForwardOutcome.Lost lost) {
      onLost(call, attempt, lost, now);
    }
  }

  private void onAnswer(Call call, ForwardOutcome.Answered answered, long nowMillis) {
    if (answered.notRun()) {
      // Another status shows that the other host's configuration is older or newer, as this host
      // has admitted the request.
      boolean rejected = CallerExchange.guaranteesNotRun(answered.status());
      if (rejected && call.sends.verdict() instanceof Verdict.NotRun evidence) {
        call.exchange.reject(evidence, answered.status(), answered.headers(), answered.body());
        endings.finish(call, answered.status(), "", nowMillis);
      } else {
        endings.fail(
            call,
            "the host that the request was passed on to answered " + answered.status(),
            NOT_ADMITTED_RETRY_AFTER_MILLIS);
      }
      return;
    }
    if (HttpStatus.isSuccess(answered.status())) {
      endings.succeeded(call, nowMillis);
    }
    call.exchange.respond(answered.status(), answered.headers(), answered.body());
    endings.finish(call, answered.status(), "", nowMillis);
  }

  private void onLost(
      Call call, Call.ForwardedAttempt attempt, ForwardOutcome.Lost lost, long nowMillis) {
    metrics.counter("forwarding.lost").inc();
    log.info(
        "passed-on-lost",
        "request",
        call.id(),
        "to",
        attempt.host,
        "why",
        lost.reason(),
        "may_have_run",
        lost.mayHaveRun());
    call.excludedHosts.add(attempt.host);
    if (lost.mayHaveRun()) {
      call.retryAccount.recordRunnerReached();
    }
    boolean mayRepeat =
        !lost.mayHaveRun()
            || (call.mayRunAgain() && call.sends.possibleRuns() < call.route.maxAttempts());
    if (mayRepeat) {
      endings.place(call, nowMillis);
    } else {
      endings.fail(call, lost.reason(), 0);
    }
  }

  /** Relays a stream to the caller at once and passes its end to the decision thread. */
  private final class Listener implements ForwardListener {
    private final Call call;
    private final Call.ForwardedAttempt attempt;

    Listener(Call call, Call.ForwardedAttempt attempt) {
      this.call = call;
      this.attempt = attempt;
    }

    @Override
    public void streamStarted(int status, HttpFields headers, @Nullable SoftwareVersion version) {
      call.relay.start(attempt.number, status, headers, version);
    }

    @Override
    public void streamContent(ByteBuffer content) {
      call.relay.relayChunk(attempt.number, content, clock.getAsLong());
    }

    @Override
    public void ended(ForwardOutcome outcome) {
      ForwardOutcome verified = verify(outcome);
      decisionThread.accept(() -> onEnded(call, attempt, verified));
    }

    /** Returns a stream that was truncated as a lost response, and other outcomes unchanged. */
    private ForwardOutcome verify(ForwardOutcome outcome) {
      return outcome instanceof ForwardOutcome.StreamCompleted
              && call.relay.completeness(attempt.number, Framing.CHUNKS)
                  instanceof Completeness.Truncated truncated
          ? new ForwardOutcome.Lost(truncated.reason(), true)
          : outcome;
    }
  }
}
