package org.sequoiahub.node.holder;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.node.peer.FleetTopology;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.HostSettings;

/** Which host should order a runner, as far as this host knows the fleet. */
final class HolderChoice {

  /** Hosts are being restarted in turn if one said this long ago at most that it leaves (ms). */
  private static final long ROLLING_MILLIS = 10_000;

  /** A host that started this much later than the oldest has been restarted (ms). */
  private static final long RESTARTED_MILLIS = 5_000;

  private final HostSettings settings;
  private final long incarnation;
  private final Members<HostState> members;
  private final FleetTopology shape;

  /**
   * Creates a choice.
   *
   * @param incarnation which process of this host this is, as the others are told
   */
  HolderChoice(
      HostSettings settings, long incarnation, Members<HostState> members, FleetTopology shape) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.members = members;
    this.shape = shape;
  }

  /** Returns whether this host should order a runner. */
  boolean isThisHost(RunnerEntry runner, long nowMillis) {
    return first(runner, nowMillis).equals(settings.host());
  }

  /**
   * The host that should order a runner: one of its failure domain if there is any.
   *
   * <p>Hosts are restarted in turn, and each change of the holder costs the runner some seconds
   * without orders. So while one leaves, those that have been restarted already are preferred: the
   * others are likely to be next.
   */
  private String first(RunnerEntry runner, long nowMillis) {
    Map<String, String> domains = new HashMap<>();
    domains.put(settings.host(), settings.failureDomain());
    Map<String, Long> starts = new HashMap<>();
    starts.put(settings.host(), incarnation);
    boolean rolling = false;
    for (Member<HostState> member : members.reachable(nowMillis)) {
      HostState state = member.state();
      rolling |= member.leaving() && nowMillis - member.heardMillis() < ROLLING_MILLIS;
      if (members.isSound(member.host(), nowMillis) && state != null) {
        domains.put(member.host(), state.getFailureDomain());
        starts.put(member.host(), member.incarnation());
      }
    }
    // In a large fleet few hosts order many runners each: claims go to every host.
    Set<String> candidates = new HashSet<>(domains.keySet());
    if (shape.isLarge()) {
      candidates.retainAll(shape.delegates());
    }
    long oldest = starts.values().stream().min(Long::compare).orElse(incarnation);
    Set<String> restarted = new HashSet<>(candidates);
    restarted.removeIf(host -> starts.getOrDefault(host, 0L) - oldest < RESTARTED_MILLIS);
    if (rolling && !restarted.isEmpty()) {
      candidates = restarted;
    }
    Set<String> near = new HashSet<>(candidates);
    near.removeIf(host -> !runner.failureDomain().equals(domains.get(host)));
    // By address: a runner that restarts there stays with its holder, which needs no wait.
    return Rendezvous.first(runner.address(), near.isEmpty() ? candidates : near, host -> host)
        .orElse(settings.host());
  }
}
