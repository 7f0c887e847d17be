package org.sequoiahub.node.holder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahub.core.holding.Demand;

/** What the requests of this host and of the other hosts wait for, by runner id. */
final class RunnerDemands {

  /** Lifetime of a demand received from another host (ms); demands are repeated every 120 ms. */
  private static final long REMOTE_TTL_MILLIS = 300;

  /** Demands of other hosts, by runner id, then by host and target. */
  private final Map<String, Map<String, RemoteDemand>> remote = new HashMap<>();

  private Map<String, List<Demand>> local = Map.of();

  private record RemoteDemand(Demand demand, long receivedMillis) {}

  /** Replaces the demands of this host's own requests. */
  void updateLocal(Map<String, List<Demand>> demands) {
    local = demands;
  }

  /** Applies a demand of another host's requests; returns whether it is new. */
  boolean updateRemote(String host, String runner, Demand demand, long nowMillis) {
    RemoteDemand previous =
        remote
            .computeIfAbsent(runner, id -> new HashMap<>())
            .put(host + " " + demand.target(), new RemoteDemand(demand, nowMillis));
    return previous == null || nowMillis - previous.receivedMillis > REMOTE_TTL_MILLIS;
  }

  /** Returns the demands for a runner's adapters. */
  List<Demand> current(String runner, long nowMillis) {
    List<Demand> demands = new ArrayList<>(local.getOrDefault(runner, List.of()));
    Map<String, RemoteDemand> others = remote.getOrDefault(runner, Map.of());
    others.values().removeIf(demand -> nowMillis - demand.receivedMillis > REMOTE_TTL_MILLIS);
    others.values().forEach(demand -> demands.add(demand.demand));
    return demands;
  }
}
