package org.sequoiahub.cli.bench;

import java.util.Set;
import java.util.TreeSet;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.runner.PolicySettings;

/**
 * A policy to simulate, with some of its mechanisms disabled.
 *
 * @param name the policy's name in the result line
 * @param routing how a runner is chosen
 * @param without the names of the disabled mechanisms
 */
record Variant(String name, Routing routing, Set<String> without) {

  /** The names of the mechanisms that can be disabled. */
  static final Set<String> MECHANISMS =
      Set.of("value-eviction", "fill", "draining", "replicas", "packing");

  /** How a runner is chosen. */
  enum Routing {
    /** Any runner of the pool, at random. */
    RANDOM,
    /** The adapter's first placement candidate that has not refused the request. */
    FIRST_CANDIDATE,
    /** The placement candidate where the request is expected to start soonest. */
    CHEAPEST
  }

  /**
   * Returns the policy with the given name.
   *
   * @param without the mechanisms to disable; only {@code sequoia} takes them into account
   * @throws IllegalArgumentException if the name or a mechanism is unknown
   */
  static Variant forName(String name, Set<String> without) {
    for (String mechanism : without) {
      if (!MECHANISMS.contains(mechanism)) {
        throw new IllegalArgumentException(
            "--without must contain only mechanisms of "
                + new TreeSet<>(MECHANISMS)
                + ", was '"
                + mechanism
                + "'");
      }
    }
    return switch (name) {
      case "random-lru" -> new Variant(name, Routing.RANDOM, Set.of("value-eviction"));
      case "rendezvous-lru" -> new Variant(name, Routing.FIRST_CANDIDATE, Set.of("value-eviction"));
      case "sequoia" ->
          new Variant(
              without.isEmpty()
                  ? name
                  : name + "-without-" + String.join("+", new TreeSet<>(without)),
              Routing.CHEAPEST,
              without);
      default ->
          throw new IllegalArgumentException(
              "--policy must be random-lru, rendezvous-lru or sequoia, was '" + name + "'");
    };
  }

  /** Returns {@code full} with the disabled mechanisms switched off. */
  PolicySettings policy(PolicySettings full) {
    return new PolicySettings(
        full.queueLimit(),
        full.briefAgeMillis(),
        without.contains("draining") ? Long.MAX_VALUE / 4 : full.drainAfterMillis(),
        full.orderLifetimeMillis(),
        full.requestLimitMillis(),
        !without.contains("value-eviction"));
  }

  /** Returns {@code full} with the disabled mechanisms switched off. */
  RouteSettings routing(RouteSettings full) {
    return new RouteSettings(
        without.contains("replicas") ? 1 : full.candidateCount(),
        full.loadCostMillis(),
        without.contains("fill") ? 0 : full.batchFillWeight(),
        without.contains("packing") ? 1 : full.minActiveShare());
  }
}
