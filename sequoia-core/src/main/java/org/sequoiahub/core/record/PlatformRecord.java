package org.sequoiahub.core.record;

import java.util.List;

/** A parsed and validated record. */
public sealed interface PlatformRecord {

  /** Returns the record's name, unique among records of the same kind. */
  String name();

  /**
   * The share of an adapter's traffic that one version receives.
   *
   * @param version the version that receives the share
   * @param weight the share, relative to the sum of all weights
   */
  record TrafficShare(String version, int weight) {}

  /**
   * An adapter, its versions and the traffic that each receives.
   *
   * @param name the adapter's name
   * @param baseModel the base model to which its weights apply
   * @param team the team that owns it; {@code default} if the record names none
   * @param priority the priority of its requests
   * @param traffic the versions that callers may request; a version of weight 0 is served only by
   *     its exact name
   * @param maxInFlight the maximum number of requests queued or running at once in the fleet; 0 for
   *     no limit
   * @param maxReplicas the maximum number of runners that may hold one version at once
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
    /** Creates the record with an immutable copy of the list. */
    public Adapter {
      traffic = List.copyOf(traffic);
    }

    /** Returns whether {@code version} is one of this adapter's versions. */
    public boolean hasVersion(String version) {
      return traffic.stream().anyMatch(share -> share.version().equals(version));
    }
  }

  /**
   * A plain HTTP service, other than an engine.
   *
   * @param name the service's name, its first path segment
   * @param idempotentMethods HTTP methods whose calls may be repeated
   * @param timeoutMillis the time limit of one call, in milliseconds
   */
  record Service(String name, List<String> idempotentMethods, long timeoutMillis)
      implements PlatformRecord {
    /** Creates the record with an immutable copy of the list. */
    public Service {
      idempotentMethods = List.copyOf(idempotentMethods);
    }
  }

  /**
   * A team, one of several that share the fleet.
   *
   * @param name the team's name
   * @param share its weight relative to other teams when they contend for runners
   */
  record Team(String name, int share) implements PlatformRecord {}
}
