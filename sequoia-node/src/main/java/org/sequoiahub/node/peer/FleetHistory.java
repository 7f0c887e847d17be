package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.usersplatform.HostSettings;

/** What the members' states say about the size of the fleet and the age of its processes. */
public final class FleetHistory {

  private final HostSettings settings;
  private final long incarnation;
  private final Members<HostState> members;

  /**
   * Creates a view.
   *
   * @param incarnation the start time of this process (ms since the epoch)
   */
  public FleetHistory(HostSettings settings, long incarnation, Members<HostState> members) {
    this.settings = requireNonNull(settings, "settings must not be null");
    this.incarnation = incarnation;
    this.members = requireNonNull(members, "members must not be null");
  }

  /**
   * Returns how many hosts share the fleet's budgets and the runners' limits, this one included; 0
   * if this host knows no other although there should be some. The largest fleet size that a
   * reachable host advertises is used, as a host that has just started knows few others itself.
   */
  public int sharingHostCount(long nowMillis) {
    List<Member<HostState>> others = members.reachable(nowMillis);
    int hosts = 1 + others.size();
    for (Member<HostState> other : others) {
      HostState state = other.state();
      hosts = Math.max(hosts, state == null ? 0 : state.getFleetSize());
    }
    return hosts == 1 && settings.expectsOtherHosts() ? 0 : hosts;
  }

  /**
   * Returns whether all processes that are alive started less than a time ago, and none of them
   * with the deployment: what happened before may be forgotten.
   *
   * @param wallClockMillis the time of day (ms since the epoch)
   */
  public boolean isShorterThan(long millis, long wallClockMillis, long nowMillis) {
    if (settings.firstStart()) {
      return false;
    }
    long oldestIncarnation = incarnation;
    for (Member<HostState> member : members.alive(nowMillis)) {
      HostState state = member.state();
      if (state != null && state.getFirstStart()) {
        return false;
      }
      oldestIncarnation = Math.min(oldestIncarnation, member.incarnation());
    }
    return wallClockMillis - oldestIncarnation < millis;
  }
}
