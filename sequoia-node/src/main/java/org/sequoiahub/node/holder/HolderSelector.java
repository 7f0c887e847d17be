package org.sequoiahub.node.holder;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.peer.FleetTopology;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.HostSettings;

/** Selects the host that should hold a runner's lease, from what this host knows of the fleet. */
final class HolderSelector {

  /** A rolling restart is assumed if a host announced its shutdown at most this long ago (ms). */
  private static final long ROLLING_RESTART_MILLIS = 10_000;

  /** A host that started this much later than the oldest host counts as restarted (ms). */
  private static final long RESTARTED_AFTER_MILLIS = 5_000;

  private final HostSettings settings;
  private final long incarnation;
  private final Members<HostState> members;
  private final FleetTopology shape;
  private final BooleanSupplier runnersUnreachable;
  private @Nullable Candidates candidates;

  /**
   * Creates a selector.
   *
   * @param incarnation start time of this process (ms since the epoch), as advertised to the other
   *     hosts
   * @param runnersUnreachable whether this host has lost its path to the runners
   */
  HolderSelector(
      HostSettings settings,
      long incarnation,
      Members<HostState> members,
      FleetTopology shape,
      BooleanSupplier runnersUnreachable) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.members = members;
    this.shape = shape;
    this.runnersUnreachable = runnersUnreachable;
  }

  /** Returns whether this host should hold the runner's lease. */
  boolean selectsThisHost(RunnerEntry runner, long nowMillis) {
    return selectHolder(runner, nowMillis).equals(settings.host());
  }

  /** Returns whether a host has stated that it has lost its path to the runners. */
  boolean isUnreachable(String host) {
    return members
        .find(host)
        .map(Member::state)
        .map(HostState::getRunnersUnreachable)
        .orElse(false);
  }

  /**
   * Returns the host that should hold the runner's lease; one of the runner's failure domain if
   * there is any.
   */
  private String selectHolder(RunnerEntry runner, long nowMillis) {
    Candidates current = candidates;
    if (current == null || current.determinedMillis != nowMillis) {
      current = determineCandidates(nowMillis);
      candidates = current;
    }
    // Hashed by address: a runner that restarts at its address keeps its holder, which then need
    // not wait for the orders of another holder to expire.
    return Rendezvous.first(
            runner.address(),
            current.byDomain.getOrDefault(runner.failureDomain(), current.all),
            host -> host)
        .orElse(settings.host());
  }

  /**
   * The hosts that may hold leases at one time. It is the same for all runners, so that a check of
   * all of them does not take the product of runners and hosts.
   *
   * @param byDomain those of each failure domain that has any
   */
  private record Candidates(
      long determinedMillis, Set<String> all, Map<String, Set<String>> byDomain) {}

  /**
   * Determines the hosts that may hold leases.
   *
   * <p>Each change of the holder leaves the runner without orders for some seconds. During a
   * rolling restart, hosts that have already been restarted are therefore preferred: the others are
   * likely to be restarted next.
   */
  private Candidates determineCandidates(long nowMillis) {
    Map<String, String> failureDomains = new HashMap<>();
    failureDomains.put(settings.host(), settings.failureDomain());
    Map<String, Long> incarnations = new HashMap<>();
    incarnations.put(settings.host(), incarnation);
    Set<String> unreachable = new HashSet<>();
    if (runnersUnreachable.getAsBoolean()) {
      unreachable.add(settings.host());
    }
    boolean rollingRestart = false;
    for (Member<HostState> member : members.reachable(nowMillis)) {
      HostState state = member.state();
      rollingRestart |=
          member.leaving() && nowMillis - member.lastSeenMillis() < ROLLING_RESTART_MILLIS;
      if (members.isHealthy(member.host(), nowMillis) && state != null) {
        failureDomains.put(member.host(), state.getFailureDomain());
        incarnations.put(member.host(), member.incarnation());
        if (state.getRunnersUnreachable()) {
          unreachable.add(member.host());
        }
      }
    }
    // Each holder sends claims to all granters, so in a large fleet only the delegates hold leases,
    // each of them those of many runners.
    Set<String> eligible = new HashSet<>(failureDomains.keySet());
    if (shape.isLarge()) {
      eligible.retainAll(shape.delegates());
    }
    Set<String> reaching = new HashSet<>(eligible);
    reaching.removeAll(unreachable);
    if (!reaching.isEmpty()) {
      eligible = reaching;
    }
    long oldestIncarnation = incarnations.values().stream().min(Long::compare).orElse(incarnation);
    Set<String> restarted = new HashSet<>(eligible);
    restarted.removeIf(
        host -> incarnations.getOrDefault(host, 0L) - oldestIncarnation < RESTARTED_AFTER_MILLIS);
    if (rollingRestart && !restarted.isEmpty()) {
      eligible = restarted;
    }
    Map<String, Set<String>> byDomain = new HashMap<>();
    for (String host : eligible) {
      byDomain
          .computeIfAbsent(failureDomains.getOrDefault(host, ""), domain -> new HashSet<>())
          .add(host);
    }
    return new Candidates(nowMillis, eligible, byDomain);
  }
}
