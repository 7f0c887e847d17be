package org.sequoiahub.node.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.dispatch.RetryRule;
import org.sequoiahub.core.dispatch.SilenceTimer;
import org.sequoiahub.core.quarantine.RequestFingerprint;
import org.sequoiahub.core.retry.RetryAccount;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.runnerstate.StatedLoad;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.core.verdict.SendHistory;
import org.sequoiahub.core.verdict.Verdict;
import org.sequoiahub.core.workspace.Workspace;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.forward.RequestForwarder;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.node.upstream.Attempt;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/** The state of one caller's request while it is in progress; used by the decision thread only. */
final class Call {

  /** Maximum number of parts of a prompt that are considered; the caller determines how many. */
  private static final int MAX_PARTS = 16;

  final CallerExchange exchange;
  final CallerHeaders headers;
  final Admission.Permitted permitted;
  final Route route;
  final String service;

  /** The generation that is requested; null for a request to a plain service. */
  final @Nullable Generation generation;

  final long arrivedMillis;

  /** When the caller no longer waits for the response (ms). */
  private long deadlineMillis;

  final RetryAccount retryAccount;
  final StreamRelay relay;
  final List<ActiveAttempt> activeAttempts = new ArrayList<>();

  /** Ids of the runners that failed or finally refused this request; they do not get it again. */
  final Set<String> excludedRunners = new HashSet<>();

  /** Ids of the runners that could not take its stream up while its first runner was silent. */
  final Set<String> triedBeside = new HashSet<>();

  /** Ids of the runners that refused this request once because they did not have its adapter. */
  final Set<String> adapterMissingAt = new HashSet<>();

  /** The runner at which the request waits to be sent; null if it does not wait. */
  @Nullable RunnerEntry waitingAt;

  /** Since when it has waited at {@link #waitingAt} (ms). */
  long waitingSinceMillis;

  /** Whether it waits only for a permit or for the end of a backoff of its runner. */
  boolean waitsToSend;

  /** When it is placed again at the latest while it waits (ms). */
  long nextPlacementMillis;

  /** The {@link FleetView#holdingRevision} of {@link #waitingAt} when it was last placed. */
  long holdingRevision;

  /** When all runners were last evaluated for it while it waited (ms). */
  long lastFullScanMillis;

  /** Prompt tokens of the request that are counted at {@link #waitingAt}. */
  int waitingTokens;

  /** The request as it was passed on to another host; null if it was not, or if that has ended. */
  @Nullable ForwardedAttempt forwarded;

  /** Names of the hosts that could not serve the request when it was passed on to them. */
  final Set<String> excludedHosts = new HashSet<>();

  /** The software version of the runners that may serve it; null while any may. */
  @Nullable SoftwareVersion requiredVersion;

  /** Whether the origin of the stream that it takes up has been asked for. */
  boolean originRequested;

  /** The origin of the stream that it takes up; null until the answer is there. */
  StreamResumption.@Nullable OriginAnswer originAnswer;

  /** For how long the runner of its stream has been silent. */
  final SilenceTimer silence = new SilenceTimer();

  /** Whether it is on record that the runner of its stream is silent. */
  boolean silenceReported;

  /** Since when the runner of its stream has been silent, once that is on record (ms). */
  long silentSinceMillis;

  /** What is known of each time that it was sent to a runner or to another host. */
  final SendHistory sends;

  boolean done;

  /** Computed on first use. */
  private @Nullable RequestFingerprint fingerprint;

  /** Computed on first use. */
  private @Nullable List<Long> partFingerprints;

  Call(
      CallerExchange exchange,
      CallerHeaders headers,
      Admission.Permitted permitted,
      String service,
      RetryAccount retryAccount,
      long arrivedMillis,
      long deadlineMillis) {
    this.exchange = exchange;
    this.headers = headers;
    this.permitted = permitted;
    this.route = permitted.route();
    this.service = service;
    this.retryAccount = retryAccount;
    this.generation = permitted.generation(service, headers);
    this.arrivedMillis = arrivedMillis;
    this.deadlineMillis = deadlineMillis;
    this.relay = new StreamRelay(exchange);
    CallerExchange.Forwarding forwarding = exchange.forwarding();
    this.sends = new SendHistory(forwarding == null ? 0 : forwarding.priorRuns());
  }

  /** An attempt in progress. */
  static final class ActiveAttempt {
    final int number;
    final RunnerEntry runner;
    final long startedMillis;

    /** Expected time from the start to the first token (ms). */
    final long firstTokenMillis;

    /** Prompt tokens that are counted at the runner as not read yet; 0 after the first event. */
    int unreadTokens;

    /** Requests that were at the runner when this attempt was sent. */
    int requestsAhead;

    /** Prompt tokens that the runner had to read up to the first event when it was sent. */
    long tokensToRead;

    /** The load that the response states; null if there is none, or after it was recorded. */
    volatile @Nullable StatedLoad statedLoad;

    boolean firstEventReceived;

    /** When the first event was received (ms); 0 before. */
    long firstEventMillis;

    /** Whether it is on record that the runner survived the start of the response. */
    boolean survivalRecorded;

    /** Null until the upstream client has started it. */
    @Nullable Attempt attempt;

    ActiveAttempt(
        int number,
        RunnerEntry runner,
        long startedMillis,
        long firstTokenMillis,
        int unreadTokens) {
      this.number = number;
      this.runner = runner;
      this.startedMillis = startedMillis;
      this.firstTokenMillis = firstTokenMillis;
      this.unreadTokens = unreadTokens;
    }
  }

  /** An attempt that another host makes for this one. */
  static final class ForwardedAttempt {
    final int number;
    final String host;

    /** Null until the request has been passed on. */
    RequestForwarder.@Nullable Forwarded request;

    ForwardedAttempt(int number, String host) {
      this.number = number;
      this.host = host;
    }
  }

  /** Returns whether its stream may go on at runners of a software version. */
  boolean admits(SoftwareVersion version) {
    return requiredVersion == null || requiredVersion.equals(version);
  }

  /** Returns whether it takes up a stream of which its caller has received events. */
  boolean takesUpStream() {
    return route.repeatPolicy().isStream() && !headers.lastEventId().isEmpty();
  }

  /** Returns whether the request may be sent to a runner beside its active attempts. */
  boolean mayAddAttempt() {
    return sends.possibleRuns() + activeAttempts.size() < route.maxAttempts()
        && sends.count() < RetryRule.MAX_SENDS;
  }

  /** Returns whether it has certainly not run, or may run again. */
  boolean mayRunAgain() {
    return route.repeatPolicy().allowsRerun() || sends.verdict() instanceof Verdict.NotRun;
  }

  /** Returns whether another host passed the request on to this one. */
  boolean isFromOtherHost() {
    return exchange.forwarding() != null;
  }

  /** Returns when the caller gives up if it has received no further event by then (ms). */
  long nextEventDeadlineMillis() {
    long waitsSince = Math.max(arrivedMillis, relay.lastChunkMillis());
    return Math.min(deadlineMillis, waitsSince + route.patienceMillis());
  }

  long deadlineMillis() {
    return deadlineMillis;
  }

  /** Sets an earlier deadline; a later one has no effect. */
  void shortenDeadline(long newDeadlineMillis) {
    deadlineMillis = Math.min(deadlineMillis, newDeadlineMillis);
  }

  /** Returns until when a first event is in time (ms). */
  long targetMillis() {
    return arrivedMillis + route.targetLatencyMillis();
  }

  /** Returns its priority for permits of limited runners. */
  int permitPriority(long nowMillis) {
    return RunnerStates.permitPriority(priority(), nowMillis < targetMillis());
  }

  /** Returns the id of the runner at which it waits; empty if it does not wait. */
  String waitingAtId() {
    RunnerEntry runner = waitingAt;
    return runner == null ? "" : runner.id();
  }

  /** Returns its priority; 0 is the most urgent. */
  int priority() {
    return permitted.priority();
  }

  /** Returns the name of the workspace that sent it; empty for none. */
  String workspaceName() {
    Workspace workspace = permitted.workspace();
    return workspace == null ? "" : workspace.name();
  }

  String id() {
    return headers.requestId();
  }

  /** Returns the fingerprint by which all hosts recognize this request. */
  RequestFingerprint fingerprint() {
    RequestFingerprint result = fingerprint;
    if (result == null) {
      byte[] body = exchange.body();
      result =
          generation != null && body.length > 0
              ? RequestFingerprint.ofGeneration(generation.target(), body)
              : RequestFingerprint.ofPlain(
                  exchange.method(), exchange.host(), exchange.pathAndQuery(), body);
      fingerprint = result;
    }
    return result;
  }

  /**
   * Returns the fingerprints of the parts of its prompt that other requests may share, in their
   * order and each once; empty for a request to a plain service.
   */
  List<Long> partFingerprints() {
    List<Long> result = partFingerprints;
    if (result == null) {
      result =
          generation == null
              ? List.of()
              : generation.sharedParts().stream()
                  .limit(MAX_PARTS)
                  .map(part -> RequestFingerprint.ofPart(part.id()))
                  .distinct()
                  .toList();
      partFingerprints = result;
    }
    return result;
  }

  /** Returns the adapter that the request uses, as model/adapter; empty for none. */
  String adapter() {
    return generation != null && generation.usesAdapter() ? generation.target() : "";
  }
}
