package org.sequoiahub.node.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.quarantine.RequestFingerprint;
import org.sequoiahub.core.retry.RetryAccount;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.workspace.Workspace;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.upstream.Attempt;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/** One caller's request while it is in progress; touched by the decision thread only. */
final class Call {

  final CallerExchange exchange;
  final CallerHeaders headers;
  final Admission.Permitted permitted;
  final Route route;
  final String service;

  /** What a model request asks for; null for a request of a plain service. */
  final @Nullable Generation generation;

  final long arrivedMillis;

  /** When nobody wants the answer any more. */
  private long endMillis;

  final RetryAccount retries;
  final StreamRelay relay;
  final List<Running> running = new ArrayList<>();

  /** Runners that failed or refused this request. */
  final Set<String> tried = new HashSet<>();

  /** Runners that refused this request once because its adapter was not there. */
  final Set<String> missedAt = new HashSet<>();

  /** Where the request waits for an adapter; null if it does not wait. */
  @Nullable RunnerEntry waitingAt;

  /** Since when it waits there (ms). */
  long waitingSinceMillis;

  /** When it is to be placed again while it waits (ms). */
  long placeAgainMillis;

  /** What {@link FleetView#holdingChanges} said of that runner when it was last placed. */
  long holdingChanges;

  /** When it last looked at all runners while it waited (ms). */
  long lookedRoundMillis;

  /** Prompt tokens that were counted at {@link #waitingAt}. */
  int waitingTokens;

  /** Requests sent to runners, those that were refused included. */
  int sends;

  /** Attempts that may have run. */
  int runs;

  /** Whether a runner may have begun with it. */
  boolean mayHaveRun;

  boolean done;

  /** Made when it is first asked for. */
  private @Nullable RequestFingerprint fingerprint;

  Call(
      CallerExchange exchange,
      CallerHeaders headers,
      Admission.Permitted permitted,
      String service,
      RetryAccount retries,
      long arrivedMillis,
      long endMillis) {
    this.exchange = exchange;
    this.headers = headers;
    this.permitted = permitted;
    this.route = permitted.route();
    this.service = service;
    this.retries = retries;
    this.generation = permitted.generation(service, headers);
    this.arrivedMillis = arrivedMillis;
    this.endMillis = endMillis;
    this.relay = new StreamRelay(exchange);
  }

  /** An attempt in progress. */
  static final class Running {
    final int number;
    final RunnerEntry runner;
    final long startedMillis;
    int unreadTokens;
    boolean firstEventSeen;
    @Nullable Attempt attempt;

    Running(int number, RunnerEntry runner, long startedMillis, int unreadTokens) {
      this.number = number;
      this.runner = runner;
      this.startedMillis = startedMillis;
      this.unreadTokens = unreadTokens;
    }
  }

  /** Returns when the caller leaves if it has had no event until then. */
  long firstEventByMillis() {
    return Math.min(endMillis, arrivedMillis + route.patienceMillis());
  }

  long endMillis() {
    return endMillis;
  }

  /** Ends the request at a moment at the latest. */
  void endBy(long millis) {
    endMillis = Math.min(endMillis, millis);
  }

  /** Returns its rank, 0 first. */
  int priority() {
    return permitted.priority();
  }

  /** Returns the name of the workspace that asks; empty for none. */
  String workspaceName() {
    Workspace workspace = permitted.workspace();
    return workspace == null ? "" : workspace.name();
  }

  String id() {
    return headers.requestId();
  }

  /** Returns the number by which all hosts know this request again. */
  RequestFingerprint fingerprint() {
    RequestFingerprint known = fingerprint;
    if (known == null) {
      byte[] body = exchange.body();
      known =
          generation != null && body.length > 0
              ? RequestFingerprint.ofGeneration(generation.target(), body)
              : RequestFingerprint.ofPlain(
                  exchange.method(), exchange.host(), exchange.pathAndQuery(), body);
      fingerprint = known;
    }
    return known;
  }

  /** Returns the adapter that the request uses, as model/adapter; empty for none. */
  String adapter() {
    return generation != null && generation.usesAdapter() ? generation.target() : "";
  }
}
