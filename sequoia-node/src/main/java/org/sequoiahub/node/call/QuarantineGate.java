package org.sequoiahub.node.call;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.call.PromptPart;
import org.sequoiahub.core.quarantine.ActiveQuarantine;
import org.sequoiahub.core.quarantine.LoadGuard;
import org.sequoiahub.core.quarantine.RequestFingerprint;
import org.sequoiahub.core.quarantine.RequestQuarantine;
import org.sequoiahub.core.quarantine.RunnerTermination;
import org.sequoiahub.core.quarantine.RunnerTerminationListener;
import org.sequoiahub.core.response.Framing;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.runtime.log.EventLog;

/**
 * Decides whether quarantines of requests, of parts of their prompts and of loads of their adapters
 * allow a request to be sent, and records how the attempts of this host's requests end.
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

  /**
   * A runner that still sends events this long after the first one (ms) has survived the start of
   * the response; a prompt part that terminates runners does so within less.
   */
  private static final long SURVIVED_MILLIS = 200;

  private final RequestQuarantine quarantine;
  private final LoadGuard loadGuard;
  private final RunnerRegistry runners;
  private final RunnerTerminationListener listener;
  private final MetricRegistry metrics;
  private final EventLog log;
  private final Deque<Unanswered> unanswered = new ArrayDeque<>();
  private final Set<Long> loggedParts = new HashSet<>();
  private volatile List<QuarantineStatus> status = List.of();
  private long lastMaintenanceMillis;

  /**
   * The rejection of a request that would terminate runners.
   *
   * @param untilMillis when it may be sent
   */
  record Rejection(String reason, long untilMillis) {}

  private record Unanswered(Call call, Call.ActiveAttempt running, long givenUpMillis) {}

  /**
   * Creates a gate.
   *
   * @param listener receives the observations that are passed on to the other hosts
   */
  public QuarantineGate(
      RequestQuarantine quarantine,
      LoadGuard loadGuard,
      RunnerRegistry runners,
      RunnerTerminationListener listener,
      MetricRegistry metrics,
      EventLog log) {
    this.quarantine = quarantine;
    this.loadGuard = loadGuard;
    this.runners = runners;
    this.listener = listener;
    this.metrics = metrics;
    this.log = log;
    metrics.register("quarantine.requests", (Gauge<Integer>) quarantine::size);
    metrics.register("quarantine.held", (Gauge<Integer>) () -> status.size());
  }

  /** Returns what was quarantined at the last maintenance; may be called on any thread. */
  public List<QuarantineStatus> status() {
    return status;
  }

  /**
   * Returns why a request must not be sent to a runner; empty if it may be sent. A rejection is
   * logged and counted.
   *
   * @param loadedVersion the version of the request's adapter that would have to be loaded;
   *     negative if none would
   */
  Optional<Rejection> check(Call call, int loadedVersion, long nowMillis) {
    if (quarantine.isEmpty()) {
      return Optional.empty();
    }
    Optional<ActiveQuarantine> ofRequest = requestQuarantine(call, nowMillis);
    if (ofRequest.isPresent()) {
      return Optional.of(reject(call, "ran this request", ofRequest.get(), nowMillis));
    }
    Optional<ActiveQuarantine> ofPart =
        quarantine.activePartQuarantine(call.partFingerprints(), nowMillis);
    if (ofPart.isPresent()) {
      return Optional.of(
          reject(call, "ran requests with a part of its prompt", ofPart.get(), nowMillis));
    }
    Optional<ActiveQuarantine> ofLoad =
        loadedVersion < 0 || call.adapter().isEmpty()
            ? Optional.empty()
            : loadGuard.activeQuarantine(call.adapter(), loadedVersion, nowMillis);
    return ofLoad.map(load -> reject(call, "loaded the request's adapter", load, nowMillis));
  }

  private Optional<ActiveQuarantine> requestQuarantine(Call call, long nowMillis) {
    return quarantine.mightContain(call.fingerprint().checksum())
        ? quarantine.activeQuarantine(call.fingerprint().value(), nowMillis)
        : Optional.empty();
  }

  /**
   * Returns when a request, and the parts of its prompt, may be sent again (ms); empty if they may
   * be sent now.
   */
  OptionalLong quarantinedUntilMillis(Call call, long nowMillis) {
    return quarantine.isEmpty()
        ? OptionalLong.empty()
        : Stream.concat(
                requestQuarantine(call, nowMillis).stream(),
                quarantine.activePartQuarantine(call.partFingerprints(), nowMillis).stream())
            .mapToLong(ActiveQuarantine::untilMillis)
            .max();
  }

  /**
   * Returns whether a runner recently terminated while it ran a request; a suspect request must not
   * be sent to two runners at once.
   */
  boolean isSuspect(Call call, long nowMillis) {
    return quarantine.mightContain(call.fingerprint().checksum())
        && quarantine.isSuspect(call.fingerprint().value(), nowMillis);
  }

  private Rejection reject(
      Call call, String whileRunners, ActiveQuarantine active, long nowMillis) {
    long fingerprint = active.terminations().get(0).request();
    metrics.counter("requests.held_back").inc();
    log.info(
        "request-held-back",
        "request",
        call.id(),
        "fingerprint",
        RequestFingerprint.format(fingerprint),
        "part",
        partId(call, fingerprint),
        "caller",
        call.exchange.callerIp(),
        "ends",
        String.join(" ", describeTerminations(active, nowMillis)),
        "for_ms",
        active.untilMillis() - nowMillis);
    return new Rejection(
        "quarantined: runners terminated while they " + whileRunners, active.untilMillis());
  }

  /** Returns the id of the prompt part with a fingerprint; empty if the request has none. */
  private static String partId(Call call, long fingerprint) {
    return call.generation == null
        ? ""
        : call.generation.sharedParts().stream()
            .map(PromptPart::id)
            .filter(id -> RequestFingerprint.ofPart(id) == fingerprint)
            .findFirst()
            .orElse("");
  }

  /** Records that a request is sent to a runner. */
  void recordSent(Call call, long nowMillis) {
    if (quarantine.isEmpty()) {
      return;
    }
    quarantine.recordSent(call.partFingerprints(), nowMillis);
    if (quarantine.mightContain(call.fingerprint().checksum())) {
      quarantine.recordSent(List.of(call.fingerprint().value()), nowMillis);
    }
  }

  /** Records that the connection of an attempt broke before the response was complete. */
  void recordBrokenConnection(Call call, Call.ActiveAttempt active, long nowMillis) {
    if (runners.isLeaving(active.runner)) {
      // No request causes the termination of a runner that leaves.
      return;
    }
    boolean confirmed = runners.hasTerminated(active.runner.idHash());
    recordTerminations(call, active, nowMillis, confirmed, nowMillis);
  }

  /**
   * Records that an attempt was abandoned without a response; its runner may be silent.
   *
   * @param verdict whether the attempt may have run
   */
  void recordUnanswered(Call call, Call.ActiveAttempt active, Verdict verdict, long nowMillis) {
    if (verdict instanceof Verdict.NotRun || runners.isLeaving(active.runner)) {
      return;
    }
    unanswered.addLast(new Unanswered(call, active, nowMillis));
    if (unanswered.size() > MAX_UNANSWERED) {
      unanswered.removeFirst();
    }
  }

  /**
   * Records that a request received a successful response.
   *
   * @param active the attempt that received it; null if another host made it
   * @param framing what marked the end of the response
   * @param version the version of the adapter that it used; 0 for the newest
   */
  void recordSuccess(
      Call call,
      Call.@Nullable ActiveAttempt active,
      Framing framing,
      int version,
      long nowMillis) {
    quarantine.recordSuccess(call.fingerprint(), nowMillis);
    if (quarantine.mightContain(call.fingerprint().checksum())) {
      clear(call.fingerprint().value(), nowMillis, nowMillis);
    }
    if (!call.adapter().isEmpty()) {
      loadGuard.recordSuccess(call.adapter(), version, nowMillis);
    }
    // The runner may have terminated if nothing but the connection marked the end.
    if (active != null && (framing != Framing.CONNECTION_END || hasSurvivedStart(call, active))) {
      recordSurvival(call, active, nowMillis);
    }
  }

  /** Records whether the runner of an attempt has survived the start of the response. */
  void recordProgress(Call call, Call.ActiveAttempt active, long nowMillis) {
    if (!active.survivalRecorded && !quarantine.isEmpty() && hasSurvivedStart(call, active)) {
      recordSurvival(call, active, nowMillis);
    }
  }

  private static boolean hasSurvivedStart(Call call, Call.ActiveAttempt active) {
    return active.firstEventReceived
        && call.relay.lastChunkMillis() - active.firstEventMillis >= SURVIVED_MILLIS;
  }

  /** Clears the prompt parts of a request from the terminations before its response began. */
  private void recordSurvival(Call call, Call.ActiveAttempt active, long nowMillis) {
    active.survivalRecorded = true;
    long begunMillis = active.firstEventReceived ? active.firstEventMillis : active.startedMillis;
    for (long part : call.partFingerprints()) {
      RequestFingerprint fingerprint = RequestFingerprint.ofValue(part);
      quarantine.recordSuccess(fingerprint, begunMillis);
      if (quarantine.mightContain(fingerprint.checksum())) {
        clear(part, begunMillis, nowMillis);
      }
    }
    quarantine.recordAlive(active.runner.idHash(), active.startedMillis);
  }

  private void clear(long fingerprint, long atMillis, long nowMillis) {
    if (quarantine.clear(fingerprint, atMillis)) {
      listener.onCleared(fingerprint, atMillis, nowMillis);
    }
  }

  /** Confirms terminations of runners, and removes expired records; call it periodically. */
  public void runMaintenance(long nowMillis) {
    loadGuard.detectTerminations(runners::hasTerminated, nowMillis);
    if (nowMillis - lastMaintenanceMillis < MAINTENANCE_INTERVAL_MILLIS) {
      return;
    }
    lastMaintenanceMillis = nowMillis;
    for (Iterator<Unanswered> attempts = unanswered.iterator(); attempts.hasNext(); ) {
      Unanswered attempt = attempts.next();
      if (runners.hasTerminated(attempt.running.runner.idHash())) {
        attempts.remove();
        recordTerminations(attempt.call, attempt.running, attempt.givenUpMillis, true, nowMillis);
      } else if (nowMillis - attempt.givenUpMillis >= UNANSWERED_RETENTION_MILLIS) {
        attempts.remove();
      }
    }
    if (!quarantine.isEmpty()) {
      quarantine.confirmTerminations(runners::hasTerminated);
      quarantine.removeExpired(nowMillis);
      logQuarantinedParts(nowMillis);
    }
    status =
        quarantine.isEmpty()
            ? List.of()
            : quarantine.active(nowMillis).stream()
                .map(active -> toStatus(active, nowMillis))
                .toList();
  }

  private QuarantineStatus toStatus(ActiveQuarantine active, long nowMillis) {
    RunnerTermination first = active.terminations().get(0);
    return new QuarantineStatus(
        RequestFingerprint.format(first.request()),
        first.isOfPart(),
        describeTerminations(active, nowMillis),
        active.untilMillis() - nowMillis);
  }

  /** Records a termination for the request and, unless it survived the start, for its parts. */
  private void recordTerminations(
      Call call, Call.ActiveAttempt active, long endedMillis, boolean confirmed, long nowMillis) {
    RunnerTermination end =
        new RunnerTermination(
            call.fingerprint().value(),
            active.runner.idHash(),
            Math.min(active.startedMillis, endedMillis),
            endedMillis,
            active.firstEventReceived,
            confirmed);
    recordTermination(end, nowMillis);
    if (hasSurvivedStart(call, active)) {
      return;
    }
    int position = 0;
    for (long part : call.partFingerprints()) {
      position++;
      recordTermination(
          end.ofPart(part, position, quarantine.isKnownGood(part, nowMillis)), nowMillis);
    }
    logQuarantinedParts(nowMillis);
  }

  private void recordTermination(RunnerTermination end, long nowMillis) {
    if (!quarantine.recordTermination(end, nowMillis)) {
      return;
    }
    metrics.counter(end.isOfPart() ? "quarantine.part_ends" : "quarantine.ends").inc();
    listener.onTermination(end, nowMillis);
    if (end.isOfPart()) {
      return;
    }
    quarantine
        .activeQuarantine(end.request(), nowMillis)
        .ifPresent(
            active -> logQuarantined("request-quarantined", end.request(), active, nowMillis));
  }

  /** Logs the parts that have come under or out of quarantine, also by reports of other hosts. */
  private void logQuarantinedParts(long nowMillis) {
    Map<Long, ActiveQuarantine> quarantined = quarantine.quarantinedParts(nowMillis);
    quarantined.forEach(
        (part, active) -> {
          if (loggedParts.add(part)) {
            logQuarantined("part-quarantined", part, active, nowMillis);
          }
        });
    loggedParts.removeIf(
        part -> {
          boolean ended = !quarantined.containsKey(part);
          if (ended) {
            log.info("part-cleared", "fingerprint", RequestFingerprint.format(part));
          }
          return ended;
        });
  }

  private void logQuarantined(
      String event, long fingerprint, ActiveQuarantine active, long nowMillis) {
    log.warning(
        event,
        "fingerprint",
        RequestFingerprint.format(fingerprint),
        "ends",
        String.join(" ", describeTerminations(active, nowMillis)),
        "for_ms",
        active.untilMillis() - nowMillis);
  }

  private List<String> describeTerminations(ActiveQuarantine active, long nowMillis) {
    return active.terminations().stream().map(end -> describe(end, nowMillis)).toList();
  }

  private String describe(RunnerTermination end, long nowMillis) {
    String runner =
        runners
            .terminatedIncarnation(end.runner())
            .orElseGet(() -> RequestFingerprint.format(end.runner()));
    return runner
        + "@"
        + (nowMillis - end.endedMillis())
        + "ms"
        + (end.responseStarted() ? "(begun)" : "")
        + (end.confirmed() ? "" : "(unconfirmed)");
  }

  /**
   * Logs what identifies a request whose response was lost, and what it shares with other requests.
   * A request that terminates the runners that run it comes back under new ids and at other hosts,
   * where only its fingerprint identifies it.
   */
  void logLostResponse(Call call, Call.ActiveAttempt active, long now) {
    log.info(
        "answer-lost",
        "request",
        call.id(),
        "fingerprint",
        RequestFingerprint.format(call.fingerprint().value()),
        "caller",
        call.exchange.callerIp(),
        "runner",
        active.runner.id(),
        "ran_ms",
        now - active.startedMillis,
        "begun",
        active.firstEventReceived,
        "parts",
        call.generation == null
            ? ""
            : call.generation.parts().stream()
                .map(PromptPart::id)
                .collect(Collectors.joining(",")));
  }
}
