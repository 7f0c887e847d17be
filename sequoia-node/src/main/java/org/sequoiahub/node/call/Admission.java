package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.allowance.AllowanceKeeper;
import org.sequoiahub.core.allowance.AllowanceKeeper.Decision;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.routing.ServiceSpec;
import org.sequoiahub.core.workspace.Workspace;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/**
 * Decides by the configuration in force whether a request may be served at all: its route, its key,
 * its workspace's allowance. Decision thread only.
 */
final class Admission {

  /** Retry-After while there is no configuration (ms): one comes within a second or two. */
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;

  private static final long NEVER = -1;

  private final Supplier<Optional<RoutingTable>> tables;
  private final AllowanceKeeper allowances;
  private final WorkspaceMetrics metrics;
  private final EventLog log;

  Admission(
      Supplier<Optional<RoutingTable>> tables,
      AllowanceKeeper allowances,
      WorkspaceMetrics metrics,
      EventLog log) {
    this.tables = requireNonNull(tables, "tables must not be null");
    this.allowances = requireNonNull(allowances, "allowances must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** The outcome for one request. */
  sealed interface Result permits Permitted, Denied {}

  /**
   * A request that the configuration allows.
   *
   * @param workspace who asks; null on a route that needs no key
   */
  record Permitted(RoutingTable table, Route route, @Nullable Workspace workspace)
      implements Result {

    /** Returns the rank of the request: the workspace's goes before the route's. */
    int priority() {
      return workspace != null && workspace.priority() != Workspace.ROUTE_DECIDES
          ? workspace.priority()
          : route.priority();
    }

    /** Returns what is generated, if {@code service} generates; null for a plain service. */
    @Nullable Generation generation(String service, CallerHeaders headers) {
      Optional<ServiceSpec> spec = table.service(service);
      boolean engine = spec.isPresent() && spec.get().engine() != null;
      return engine ? headers.generation() : null;
    }
  }

  /**
   * A request that is answered at once; it has not run.
   *
   * @param retryMillis when it may come back; negative if it need not
   */
  record Denied(int status, String why, long retryMillis) implements Result {}

  /** Returns whether a request may be served, before its allowance is looked at. */
  Result permit(CallerExchange exchange, CallerHeaders headers) {
    Optional<RoutingTable> table = tables.get();
    if (table.isEmpty()) {
      return new Denied(
          HttpStatus.SERVICE_UNAVAILABLE_503,
          "no configuration yet",
          NO_CONFIGURATION_RETRY_MILLIS);
    }
    Optional<Route> route = table.get().find(exchange.host(), exchange.path());
    if (route.isEmpty()) {
      return new Denied(HttpStatus.NOT_FOUND_404, "no route", NEVER);
    }
    Optional<Workspace> workspace = table.get().workspaces().holding(headers.key());
    if (needsKey(table.get(), route.get()) && workspace.isEmpty()) {
      return new Denied(HttpStatus.UNAUTHORIZED_401, "unknown key", NEVER);
    }
    if (headers.requestId().isEmpty()) {
      return new Denied(HttpStatus.BAD_REQUEST_400, "the request has no id", NEVER);
    }
    return new Permitted(
        table.get(), route.get(), route.get().open() ? null : workspace.orElse(null));
  }

  /** Takes a request's cost from its workspace's allowance; empty if it may be served. */
  Optional<Denied> charge(Permitted permitted, CallerHeaders headers, long nowMillis) {
    Workspace workspace = permitted.workspace();
    if (workspace == null) {
      return Optional.empty();
    }
    metrics.asked(workspace);
    long cost = workspace.allowance().cost(headers.generation());
    Decision decision = allowances.take(workspace, cost, nowMillis);
    if (decision.granted()) {
      return Optional.empty();
    }
    metrics.overAllowance(workspace);
    log.info(
        "allowance-exceeded",
        "request",
        headers.requestId(),
        "workspace",
        workspace.name(),
        "cost",
        cost,
        "left",
        Math.round(decision.level()),
        "per_second",
        workspace.allowance().perSecond(),
        "retry_ms",
        decision.retryMillis());
    return Optional.of(
        new Denied(
            HttpStatus.TOO_MANY_REQUESTS_429,
            "the workspace's allowance is used up",
            decision.retryMillis()));
  }

  /** Gives back what a request cost that has not run. */
  void giveBack(Permitted permitted, CallerHeaders headers, long takenMillis) {
    Workspace workspace = permitted.workspace();
    if (workspace != null) {
      long cost = workspace.allowance().cost(headers.generation());
      allowances.giveBack(workspace, cost, takenMillis);
    }
  }

  /**
   * Returns whether the caller's key was withdrawn since a request was let in: one that waited must
   * not start with it.
   */
  boolean isWithdrawn(Permitted permitted, CallerHeaders headers) {
    Workspace workspace = permitted.workspace();
    RoutingTable now = tables.get().orElse(permitted.table());
    if (workspace == null || now == permitted.table()) {
      return false;
    }
    return now.workspaces().holding(headers.key()).isEmpty() && now.workspaces().areConfigured();
  }

  private static boolean needsKey(RoutingTable table, Route route) {
    return table.workspaces().areConfigured() && !route.open();
  }
}
