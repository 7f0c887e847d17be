package org.sequoiahub.node.holder;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
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
   *
   * <p>Each change of the holder leaves the runner without orders for some seconds. During a
   * rolling restart, hosts that have already been restarted are therefore preferred: the others are
   * likely to be restarted next.
   */
  private String selectHolder(RunnerEntry runner, long nowMillis) {
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
    // Claims are sent to every host, so in a large fleet only the delegates hold leases, each of
    // them those of many runners.
    Set<String> candidates = new HashSet<>(failureDomains.keySet());
    if (shape.isLarge()) {
      candidates.retainAll(shape.delegates());
    }
    Set<String> reaching = new HashSet<>(candidates);
    reaching.removeAll(unreachable);
    if (!reaching.isEmpty()) {
      candidates = reaching;
    }
    long oldestIncarnation = incarnations.values().stream().min(Long::compare).orElse(incarnation);
    Set<String> restarted = new HashSet<>(candidates);
    restarted.removeIf(
        host -> incarnations.getOrDefault(host, 0L) - oldestIncarnation < RESTARTED_AFTER_MILLIS);
    if (rollingRestart && !restarted.isEmpty()) {
      candidates = restarted;
    }
    Set<String> sameDomain = new HashSet<>(candidates);
    sameDomain.removeIf(host -> !runner.failureDomain().equals(failureDomains.get(host)));
    // Hashed by address: a runner that restarts at its address keeps its holder, which then need
    // not wait for the orders of another holder to expire.
    return Rendezvous.first(
            runner.address(), sameDomain.isEmpty() ? candidates : sameDomain, host -> host)
        .orElse(settings.host());
  }
}
