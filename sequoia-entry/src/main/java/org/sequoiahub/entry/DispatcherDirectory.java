package org.sequoiahub.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.sequoiahub.core.fleet.Fleet;
import org.sequoiahub.core.fleet.Fleet.Host;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.wire.WireClient;
import org.sequoiahub.wire.WireClients;

/**
 * Provides clients for the dispatchers and tracks which of these were recently unreachable.
 *
 * <p>The host list lags by seconds. Without this record, every request for the runners of a dead
 * dispatcher would first wait for a connection attempt to fail.
 */
final class DispatcherDirectory {

  private static final long AVOID_MILLIS = 1_000;

  private final WireClients clients;
  private final Map<String, Long> avoidUntilMillis = new HashMap<>();

  DispatcherDirectory(WireClients clients) {
    this.clients = clients;
  }

  /** Discards the clients and records of hosts that are no longer in the fleet. */
  void updateFleet(Fleet fleet, Endpoint watcher) {
    Set<Endpoint> endpoints =
        fleet.hosts().stream().map(DispatcherDirectory::endpoint).collect(Collectors.toSet());
    endpoints.add(watcher);
    clients.retain(endpoints);
    avoidUntilMillis.keySet().removeIf(id -> fleet.host(id).isEmpty());
  }

  /** Has the host's dispatcher avoided for the next {@value #AVOID_MILLIS} milliseconds. */
  void markUnreachable(String host, long nowMillis) {
    avoidUntilMillis.put(host, nowMillis + AVOID_MILLIS);
  }

  /** Returns the first host that was not recently unreachable, or else the first host. */
  Optional<Host> preferReachable(List<Host> hosts, long nowMillis) {
    return hosts.stream()
        .filter(host -> avoidUntilMillis.getOrDefault(host.id(), Long.MIN_VALUE) <= nowMillis)
        .findFirst()
        .or(() -> hosts.stream().findFirst());
  }

  WireClient client(Host host) {
    return clients.clientOf(endpoint(host));
  }

  private static Endpoint endpoint(Host host) {
    return new Endpoint(host.address(), host.dispatcherPort());
  }
}
