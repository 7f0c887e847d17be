package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.authority.LeaseCommittee;
import org.sequoiahub.core.member.Delegates;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.HostSettings;

/**
 * Determines which hosts this host communicates with. In a small fleet these are all hosts; in a
 * large one the hosts form groups that delegates represent. Decision thread only.
 */
public final class FleetTopology {

  /**
   * Interval at which it is checked whether the delegates must be chosen again (ms): a host is
   * suspected only after a second.
   */
  private static final long REFRESH_MILLIS = 400;

  private final HostSettings settings;
  private final Members<HostState> members;
  private long refreshedMillis = Long.MIN_VALUE / 2;
  private boolean large;
  private Set<String> delegates = Set.of();
  private Set<String> targetDelegates = Set.of();
  private Map<String, String> groups = Map.of();

  /** What the groups and delegates were last chosen from, by host. */
  private Map<String, Shape> shapes = Map.of();

  /** The electorate from which the committee was selected. */
  private Set<String> committeeOf = Set.of();

  private Set<String> committee = Set.of();

  /** Whether the fleet has hosts whose leases need a majority of all hosts. */
  private boolean earlierReleases;

  /** What the choice of delegates depends on at one host. */
  private record Shape(String failureDomain, int strength, boolean healthy) {}

  /** Creates the topology of a fleet of which nothing is known yet. */
  public FleetTopology(HostSettings settings, Members<HostState> members) {
    this.settings = requireNonNull(settings, "settings must not be null");
    this.members = requireNonNull(members, "members must not be null");
  }

  /**
   * Returns whether this one of all healthy hosts is to act for a key. In a large fleet it is one
   * of the delegates: they learn first of what others know of the key, and of each other's end.
   */
  public boolean isElected(long key, long nowMillis) {
    Set<String> healthy = new HashSet<>();
    if (!large || isDelegate()) {
      healthy.add(settings.host());
    }
    for (Member<HostState> member : members.alive(nowMillis)) {
      String host = member.host();
      if (members.isHealthy(host, nowMillis) && (!large || delegates.contains(host))) {
        healthy.add(host);
      }
    }
    return Rendezvous.first(Long.toHexString(key), healthy, host -> host)
        .filter(settings.host()::equals)
        .isPresent();
  }

  /** Chooses the delegates from the current members if that is due, and returns whether it was. */
  public boolean refresh(long nowMillis) {
    if (nowMillis - refreshedMillis < REFRESH_MILLIS) {
      return false;
    }
    refreshedMillis = nowMillis;
    List<Member<HostState>> reachable = members.reachable(nowMillis);
    large = Delegates.areNeeded(reachable.size() + 1);
    if (!large) {
      delegates = Set.of();
      targetDelegates = Set.of();
      groups = Map.of();
      shapes = Map.of();
      return true;
    }
    earlierReleases =
        reachable.stream()
            .map(Member::state)
            .anyMatch(state -> state != null && !state.getAsksCommittee());
    Map<String, Shape> current = shapes(reachable, nowMillis);
    if (current.equals(shapes)) {
      return true;
    }
    shapes = current;
    Map<String, String> domains = new HashMap<>();
    Map<String, String> healthy = new HashMap<>();
    current.forEach((host, shape) -> domains.put(host, shape.failureDomain));
    groups = Delegates.groups(domains);
    groups.forEach(
        (host, group) -> {
          Shape shape = current.get(host);
          if (shape != null && shape.healthy) {
            healthy.put(host, group);
          }
        });
    ToIntFunction<String> strength = host -> strengthOf(current.get(host));
    delegates = Delegates.of(healthy, strength);
    // After a network partition, two groups that consider each other dead would never communicate
    // again if each addressed live delegates only. Hosts that would be delegates if they were alive
    // are therefore addressed too.
    targetDelegates = Delegates.of(groups, strength);
    targetDelegates.addAll(delegates);
    return true;
  }

  private Map<String, Shape> shapes(List<Member<HostState>> reachable, long nowMillis) {
    Map<String, Shape> current = new HashMap<>();
    current.put(
        settings.host(), new Shape(settings.failureDomain(), settings.processorPercent(), true));
    for (Member<HostState> member : reachable) {
      HostState state = member.state();
      if (state != null) {
        boolean healthy = members.isHealthy(member.host(), nowMillis);
        current.put(
            member.host(), new Shape(state.getFailureDomain(), state.getProcessor(), healthy));
      }
    }
    return current;
  }

  private static int strengthOf(@Nullable Shape shape) {
    return shape == null ? 0 : shape.strength;
  }

  /**
   * Returns the sets of hosts of each of which a majority must grant a lease.
   *
   * <p>In a large fleet this is a committee. While the fleet has hosts of an earlier release, which
   * need a majority of all hosts, both are required: any two leases then have a common granter.
   */
  public List<Set<String>> leaseElectorates(long nowMillis) {
    Set<String> all = members.electorate(nowMillis);
    if (!large) {
      return List.of(all);
    }
    if (!all.equals(committeeOf)) {
      committeeOf = all;
      committee = LeaseCommittee.select(granterCandidates(all), LeaseCommittee.SIZE);
    }
    return earlierReleases ? List.of(all, committee) : List.of(committee);
  }

  private List<LeaseCommittee.Candidate> granterCandidates(Set<String> hosts) {
    List<LeaseCommittee.Candidate> candidates = new ArrayList<>();
    for (String host : hosts) {
      if (host.equals(settings.host())) {
        candidates.add(
            new LeaseCommittee.Candidate(
                host, settings.failureDomain(), settings.processorPercent()));
      } else {
        members
            .find(host)
            .map(Member::state)
            .ifPresent(
                state ->
                    candidates.add(
                        new LeaseCommittee.Candidate(
                            host, state.getFailureDomain(), state.getProcessor())));
      }
    }
    return candidates;
  }

  /** Returns whether the fleet is so large that delegates represent the other hosts. */
  public boolean isLarge() {
    return large;
  }

  /** Returns the delegates of all groups; empty in a small fleet. */
  public Set<String> delegates() {
    return Set.copyOf(delegates);
  }

  /** Returns whether this host is a delegate of its group. */
  public boolean isDelegate() {
    return delegates.contains(settings.host());
  }

  /**
   * Returns whether this host is the delegate of its group that sends digests most often. The
   * others send fewer and bridge the time until a dead delegate is suspected.
   */
  public boolean isFirstDelegate() {
    return isFirstDelegateOfOwnGroup(settings.host());
  }

  /** Returns whether a host is the first delegate of this host's group. */
  public boolean isFirstDelegateOfOwnGroup(String host) {
    return delegates.contains(host)
        && delegates.stream().filter(this::isInOwnGroup).allMatch(d -> host.compareTo(d) <= 0);
  }

  /** Returns the name of this host's group. */
  public String group() {
    return groups.getOrDefault(settings.host(), settings.failureDomain());
  }

  /** Returns how many hosts are in this host's group, this one included. */
  public int groupSize() {
    String own = group();
    return Math.max(1, (int) groups.values().stream().filter(own::equals).count());
  }

  /** Returns whether a host is in this host's group. */
  public boolean isInOwnGroup(String host) {
    return group().equals(groups.get(host));
  }

  /** Returns whether a host is a delegate of this host's group. */
  public boolean isDelegateOfOwnGroup(String host) {
    return delegates.contains(host) && isInOwnGroup(host);
  }

  /** Returns the other hosts to address as delegates of this host's group. */
  public List<Member<HostState>> ownGroupDelegates() {
    return targets(true);
  }

  /** Returns the hosts to address as delegates of the other groups. */
  public List<Member<HostState>> otherGroupDelegates() {
    return targets(false);
  }

  private List<Member<HostState>> targets(boolean ownGroup) {
    List<Member<HostState>> chosen = new ArrayList<>();
    for (String host : targetDelegates) {
      if (!host.equals(settings.host()) && isInOwnGroup(host) == ownGroup) {
        members.find(host).ifPresent(chosen::add);
      }
    }
    return chosen;
  }

  /**
   * Returns one host, drawn at random on each call, of each other group without a live host.
   *
   * <p>Both delegates of each group may die at once. Their successors then know no live host of
   * another group, but for a while they remember its former members. Such a host, when addressed,
   * answers with all members that it knows.
   */
  public List<Member<HostState>> sampleSilentGroups(Random random, long nowMillis) {
    Map<String, List<Member<HostState>>> silent = new HashMap<>();
    Set<String> live = new HashSet<>();
    for (Member<HostState> member : members.reachable(nowMillis)) {
      String group = groups.getOrDefault(member.host(), group());
      if (members.isHealthy(member.host(), nowMillis)) {
        live.add(group);
      }
      silent.computeIfAbsent(group, g -> new ArrayList<>()).add(member);
    }
    List<Member<HostState>> drawn = new ArrayList<>();
    silent.forEach(
        (group, hosts) -> {
          if (!live.contains(group) && !group.equals(group())) {
            drawn.add(hosts.get(random.nextInt(hosts.size())));
          }
        });
    return drawn;
  }

  /** Returns the other hosts of this host's group that are not addressed as delegates. */
  public List<Member<HostState>> ownGroupNonDelegates(long nowMillis) {
    List<Member<HostState>> others = new ArrayList<>();
    for (Member<HostState> member : members.reachable(nowMillis)) {
      if (isInOwnGroup(member.host()) && !targetDelegates.contains(member.host())) {
        others.add(member);
      }
    }
    return others;
  }
}
