package org.sequoiahub.cli.bench;

import java.util.Set;
import java.util.TreeSet;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.core.runner.PolicySettings;

/**
 * A policy to measure, with some of its mechanisms switched off.
 *
 * @param name what the result line calls it
 * @param routing how a runner is chosen
 * @param without the mechanisms that are off
 */
record Variant(String name, Routing routing, Set<String> without) {

  /** The mechanisms that can be switched off. */
  static final Set<String> MECHANISMS =
      Set.of("value-eviction", "fill", "draining", "replicas", "packing");

  /** How a runner is chosen. */
  enum Routing {
    RANDOM,
    FIRST_CANDIDATE,
    CHEAPEST
  }

  static Variant forName(String name, Set<String> without) {
    for (String mechanism : without) {
      if (!MECHANISMS.contains(mechanism)) {
        throw new IllegalArgumentException(
            "--without must name some of "
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

  PolicySettings policy(PolicySettings full) {
    return new PolicySettings(
        full.queueLimit(),
        full.briefAgeMillis(),
        without.contains("draining") ? Long.MAX_VALUE / 4 : full.drainAfterMillis(),
        full.orderLifetimeMillis(),
        full.requestLimitMillis(),
        !without.contains("value-eviction"));
  }

  RouteSettings routing(RouteSettings full) {
    return new RouteSettings(
        without.contains("replicas") ? 1 : full.candidates(),
        full.loadCostMillis(),
        without.contains("fill") ? 0 : full.fillWeight(),
        without.contains("packing") ? 1 : full.leastShare());
  }
}
