package org.sequoiahub.core.record;

import java.util.List;

/** A record that has been parsed and found valid. */
public sealed interface PlatformRecord {

  /** Returns the record's name, unique among its kind. */
  String name();

  /**
   * One share of an adapter's traffic.
   *
   * @param version the version that receives the share
   * @param weight the share, relative to the sum of all weights
   */
  record TrafficShare(String version, int weight) {}

  /**
   * An adapter, its versions and the traffic that each receives.
   *
   * @param name the adapter's name
   * @param baseModel the base model that its weights belong to
   * @param team the team that owns it; {@code default} if the record names none
   * @param priority the priority of its requests
   * @param traffic the versions that may be asked for; weight 0 means by exact name only
   * @param maxInFlight the most requests queued or running at once in the fleet; 0 for no limit
   * @param maxReplicas the most runners that may hold one version at once
   */
  record Adapter(
      String name,
      String baseModel,
      String team,
      Priority priority,
      List<TrafficShare> traffic,
      int maxInFlight,
      int maxReplicas)
      implements PlatformRecord {
    /** Copies the list. */
    public Adapter {
      traffic = List.copyOf(traffic);
    }

    /** Returns whether {@code version} is one of this adapter's versions. */
    public boolean hasVersion(String version) {
      return traffic.stream().anyMatch(share -> share.version().equals(version));
    }
  }

  /**
   * A plain service beside the engines.
   *
   * @param name the service's name, its first path segment
   * @param idempotentMethods HTTP methods whose calls may be repeated
   * @param timeoutMillis the longest that one call may take
   */
  record Service(String name, List<String> idempotentMethods, long timeoutMillis)
      implements PlatformRecord {
    /** Copies the list. */
    public Service {
      idempotentMethods = List.copyOf(idempotentMethods);
    }
  }

  /**
   * A team that shares the fleet with others.
   *
   * @param name the team's name
   * @param share its weight when runners are contended
   */
  record Team(String name, int share) implements PlatformRecord {}
}
