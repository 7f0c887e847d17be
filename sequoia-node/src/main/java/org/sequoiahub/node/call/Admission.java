package org.sequoiahub.node.call;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.allowance.AllowanceLimiter;
import org.sequoiahub.core.allowance.AllowanceLimiter.Decision;
import org.sequoiahub.core.call.Generation;
import org.sequoiahub.core.routing.Route;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.routing.ServiceSpec;
import org.sequoiahub.core.workspace.Workspace;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.store.ConfigurationStatus;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.usersplatform.HeaderCodec.CallerHeaders;

/**
 * Decides whether the configuration in force allows a request: by its route, its access key and the
 * allowance of its workspace.
 *
 * <p>Its methods must be called on the decision thread.
 */
final class Admission {

  /** Retry-After while there is no configuration (ms); one arrives within a second or two. */
  private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 500;

  /** Retry-After while the configuration may be outdated (ms). */
  private static final long OUTDATED_RETRY_AFTER_MILLIS = 300;

  /**
   * Fraction of the propagation bound after which a configuration that was not confirmed may lack a
   * route that is due.
   */
  private static final double OUTDATED_FRACTION = 0.75;

  /** The response has no Retry-After. */
  private static final long NO_RETRY_AFTER = -1;

  private final Supplier<Optional<RoutingTable>> tables;
  private final Supplier<ConfigurationStatus> configuration;
  private final long outdatedMillis;
  private final AllowanceLimiter allowances;
  private final WorkspaceMetrics metrics;
  private final EventLog log;

  /**
   * Creates the admission of a host.
   *
   * @param tables returns the routing table in force; empty before the first one
   * @param configuration returns the status of the configuration that contains it
   * @param propagationMillis the time within which a configuration must be in force (ms)
   */
  Admission(
      Supplier<Optional<RoutingTable>> tables,
      Supplier<ConfigurationStatus> configuration,
      long propagationMillis,
      AllowanceLimiter allowances,
      WorkspaceMetrics metrics,
      EventLog log) {
    this.tables = requireNonNull(tables, "tables must not be null");
    this.configuration = requireNonNull(configuration, "configuration must not be null");
    this.outdatedMillis = (long) (propagationMillis * OUTDATED_FRACTION);
    this.allowances = requireNonNull(allowances, "allowances must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** The decision about one request. */
  sealed interface Result permits Permitted, Denied {}

  /**
   * A request that the configuration allows.
   *
   * @param workspace the workspace that sent it; null on a route that needs no access key
   */
  record Permitted(RoutingTable table, Route route, @Nullable Workspace workspace)
      implements Result {

    /** Returns the priority of the request: the workspace's, or the route's if that decides. */
    int priority() {
      return workspace != null && workspace.priority() != Workspace.ROUTE_DECIDES
          ? workspace.priority()
          : route.priority();
    }

    /** Returns the requested generation if {@code service} has an engine; null otherwise. */
    @Nullable Generation generation(String service, CallerHeaders headers) {
      Optional<ServiceSpec> spec = table.service(service);
      boolean hasEngine = spec.isPresent() && spec.get().engine() != null;
      return hasEngine ? headers.generation() : null;
    }
  }

  /**
   * A request that is rejected without having run.
   *
   * @param status the HTTP status of the response
   * @param why the reason, for a human reader
   * @param retryMillis the Retry-After of the response (ms); negative for none
   */
  record Denied(int status, String why, long retryMillis) implements Result {}

  /** Returns whether a request may be served, without regard to the allowance of its workspace. */
  Result admit(CallerExchange exchange, CallerHeaders headers, long nowMillis) {
    Optional<RoutingTable> table = tables.get();
    if (table.isEmpty()) {
      return new Denied(
          HttpStatus.SERVICE_UNAVAILABLE_503,
          "this host has received no configuration yet",
          NO_CONFIGURATION_RETRY_AFTER_MILLIS);
    }
    Optional<Route> route = table.get().find(exchange.host(), exchange.path());
    if (route.isEmpty()) {
      return routeNotFound(nowMillis);
    }
    Optional<Workspace> workspace = table.get().workspaces().findByKey(headers.key());
    if (needsKey(table.get(), route.get()) && workspace.isEmpty()) {
      return new Denied(
          HttpStatus.UNAUTHORIZED_401, "the access key is missing or unknown", NO_RETRY_AFTER);
    }
    if (headers.requestId().isEmpty()) {
      return new Denied(HttpStatus.BAD_REQUEST_400, "the request id is missing", NO_RETRY_AFTER);
    }
    return new Permitted(
        table.get(), route.get(), route.get().anonymousAccess() ? null : workspace.orElse(null));
  }

  /**
   * Rejects a request without a route. A caller does not repeat a request after 404, so the status
   * is used only if the configuration is certain to have all routes that are due.
   */
  private Denied routeNotFound(long nowMillis) {
    ConfigurationStatus status = configuration.get();
    long confirmedMillisAgo = nowMillis - status.confirmedMillis();
    String reason =
        "no route matches the request's host and path in version %d, confirmed %d ms ago"
            .formatted(status.version(), confirmedMillisAgo);
    return confirmedMillisAgo > outdatedMillis
        ? new Denied(HttpStatus.SERVICE_UNAVAILABLE_503, reason, OUTDATED_RETRY_AFTER_MILLIS)
        : new Denied(HttpStatus.NOT_FOUND_404, reason, NO_RETRY_AFTER);
  }

  /** Charges a request's cost to its workspace's allowance; empty if it may be served. */
  Optional<Denied> charge(Permitted permitted, CallerHeaders headers, long nowMillis) {
    Workspace workspace = permitted.workspace();
    if (workspace == null) {
      return Optional.empty();
    }
    metrics.countRequest(workspace);
    long cost = workspace.allowance().cost(headers.generation());
    Decision decision = allowances.tryAcquire(workspace, cost, nowMillis);
    if (decision.granted()) {
      return Optional.empty();
    }
    metrics.countAllowanceExceeded(workspace);
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
        decision.retryAfterMillis());
    return Optional.of(
        new Denied(
            HttpStatus.TOO_MANY_REQUESTS_429,
            "the workspace has exceeded its allowance",
            decision.retryAfterMillis()));
  }

  /**
   * Refunds the cost of a request that has not run.
   *
   * @param chargedMillis when the cost was charged (ms)
   */
  void refund(Permitted permitted, CallerHeaders headers, long chargedMillis) {
    Workspace workspace = permitted.workspace();
    if (workspace != null) {
      long cost = workspace.allowance().cost(headers.generation());
      allowances.refund(workspace, cost, chargedMillis);
    }
  }

  /**
   * Returns whether the caller's access key was revoked after a request was admitted; a waiting
   * request must not be sent with a revoked key.
   */
  boolean isKeyRevoked(Permitted permitted, CallerHeaders headers) {
    Workspace workspace = permitted.workspace();
    RoutingTable current = tables.get().orElse(permitted.table());
    if (workspace == null || current == permitted.table()) {
      return false;
    }
    return current.workspaces().findByKey(headers.key()).isEmpty()
        && current.workspaces().areConfigured();
  }

  private static boolean needsKey(RoutingTable table, Route route) {
    return table.workspaces().areConfigured() && !route.anonymousAccess();
  }
}
