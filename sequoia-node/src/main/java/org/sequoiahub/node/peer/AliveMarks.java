package org.sequoiahub.node.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.placement.Rendezvous;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;

/**
 * Tells in a few bytes that hosts still live of which the receiver knows the rest.
 *
 * <p>A whole word of a host takes a hundred bytes and as many steps to decode, and in a calm fleet
 * says nothing but that it lives. A mark stands for a process and for whether it takes requests or
 * leaves; one that the receiver does not know changes nothing there, so that a host whose word was
 * lost looks silent and never livelier than it is.
 *
 * <p>Marks go one way only: of a group's hosts from its delegates, who hear them directly, to other
 * delegates, and from these to hosts that pass nothing on. On a round way the age of a dead host
 * would shrink by the delay of each step, and it might never be missed.
 */
final class AliveMarks {

  /**
   * Marks in a digest at most: those of a fleet of 77 in 0.3 s and of 300 in 1 s, in which hosts
   * are suspected after 1.5 s and 6 s.
   */
  private static final int MAX_MARKS = 48;

  private final Members<HostState> members;
  private final Map<String, HostMark> marksByHost = new HashMap<>();
  private final Map<Integer, String> hostsByMark = new HashMap<>();
  private int nextMember;

  private record HostMark(long incarnation, boolean ready, boolean leaving, int mark) {
    boolean matches(Member<HostState> member, HostState state) {
      return incarnation == member.incarnation()
          && ready == state.getReady()
          && leaving == state.getLeaving();
    }
  }

  AliveMarks(Members<HostState> members) {
    this.members = members;
  }

  /** Adds the marks of hosts to a digest; of many, others each time. */
  void add(Digest.Builder digest, List<Member<HostState>> told, long nowMillis) {
    boolean all = told.size() <= MAX_MARKS;
    int first = all ? 0 : nextMember;
    int count = Math.min(MAX_MARKS, told.size());
    for (int i = 0; i < count; i++) {
      Member<HostState> member = told.get((first + i) % told.size());
      HostState state = member.state();
      if (state != null) {
        digest.addAlive(markOf(member, state));
        digest.addAliveAgesMs((int) Math.max(0, nowMillis - member.heardMillis()));
      }
    }
    if (!all) {
      nextMember = (first + count) % told.size();
    }
  }

  /** Takes in the marks of a digest. */
  void apply(Digest digest, long nowMillis) {
    int count = Math.min(digest.getAliveCount(), digest.getAliveAgesMsCount());
    for (int i = 0; i < count; i++) {
      String host = hostsByMark.get(digest.getAlive(i));
      if (host != null) {
        members.stillHeard(host, lastSeenMillis(digest.getAliveAgesMs(i), nowMillis));
      }
    }
  }

  /**
   * Returns when a host was heard of which another told the age. An age beyond what fits an integer
   * is decoded as a negative one: taken as it is, a damaged or forged datagram would put the moment
   * into the future and keep a dead host alive for weeks.
   */
  static long lastSeenMillis(int ageMillis, long nowMillis) {
    return nowMillis - Integer.toUnsignedLong(ageMillis);
  }

  /** Learns the marks of all hosts that are known by now, and forgets the others. */
  void refresh(long nowMillis) {
    List<Member<HostState>> known = members.reachable(nowMillis);
    Set<String> names = known.stream().map(Member::host).collect(Collectors.toSet());
    marksByHost.keySet().retainAll(names);
    hostsByMark.clear();
    for (Member<HostState> member : known) {
      HostState state = member.state();
      if (state != null) {
        hostsByMark.put(markOf(member, state), member.host());
      }
    }
  }

  private int markOf(Member<HostState> member, HostState state) {
    HostMark known = marksByHost.get(member.host());
    if (known == null || !known.matches(member, state)) {
      known = createMark(member, state);
      marksByHost.put(member.host(), known);
    }
    return known.mark;
  }

  private static HostMark createMark(Member<HostState> member, HostState state) {
    boolean ready = state.getReady();
    boolean leaving = state.getLeaving();
    String text = member.host() + " " + member.incarnation() + " " + ready + " " + leaving;
    return new HostMark(member.incarnation(), ready, leaving, (int) Rendezvous.hash(text));
  }
}
