package org.sequoiahub.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.sequoiahub.core.workspace.Workspaces;

/** An accepted configuration. Immutable, so that every request sees one version throughout. */
public final class RoutingTable {

  private final long version;
  private final Map<String, List<Route>> routes = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final CallerLimits limits;
  private final Workspaces workspaces;

  /** Creates a table. */
  public RoutingTable(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      CallerLimits limits,
      Workspaces workspaces) {
    this.version = version;
    this.limits = requireNonNull(limits, "limits must not be null");
    this.workspaces = requireNonNull(workspaces, "workspaces must not be null");
    for (Route route : routes) {
      this.routes.computeIfAbsent(key(route.host()), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(route -> -route.prefix().length());
    this.routes.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
  }

  /** Returns the version number that the operator gave this configuration. */
  public long version() {
    return version;
  }

  /** Returns the limits on what callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the workspaces whose callers may send requests. */
  public Workspaces workspaces() {
    return workspaces;
  }

  /** Returns the route of {@code host} with the longest prefix that {@code path} starts with. */
  public Optional<Route> find(String host, String path) {
    for (Route route : routes.getOrDefault(key(host), List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns a service by its name. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public List<ServiceSpec> services() {
    return List.copyOf(services.values());
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routes.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the number of routes. */
  public int size() {
    return routes.values().stream().mapToInt(List::size).sum();
  }

  private static String key(String host) {
    return host.toLowerCase(Locale.ROOT);
  }
}
