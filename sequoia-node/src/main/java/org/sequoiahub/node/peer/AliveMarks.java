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
 * Compact liveness marks that a digest carries for hosts whose state the receiver already knows.
 *
 * <p>A full report of a host takes a hundred bytes and as many decoding steps, and in an idle fleet
 * it says only that the host is alive. A mark identifies a process and whether it is ready or
 * leaving. A receiver ignores marks that it does not know, so a host whose report was lost appears
 * silent and never more alive than it is.
 *
 * <p>Marks travel one way only: from a group's delegates, which receive its hosts directly, to
 * other delegates, and from these to hosts that forward nothing. On a cycle, the age of a dead host
 * would shrink by the delay of each hop, and its death might never be detected.
 */
final class AliveMarks {

  private final Members<HostState> members;
  private final Map<String, HostMark> marksByHost = new HashMap<>();
  private final Map<Integer, String> hostsByMark = new HashMap<>();

  /** The position in the rotation of the hosts that one kind of digest marks. */
  static final class Rotation {
    private final int maxMarks;
    private int nextMember;

    /**
     * Creates a rotation at its beginning.
     *
     * @param maxMarks the maximum number of marks in a digest
     */
    Rotation(int maxMarks) {
      this.maxMarks = maxMarks;
    }
  }

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

  /** Adds the marks of the given hosts to a digest, in rotation if there are too many for one. */
  void add(
      Digest.Builder digest, List<Member<HostState>> marked, Rotation rotation, long nowMillis) {
    boolean all = marked.size() <= rotation.maxMarks;
    int first = all ? 0 : rotation.nextMember;
    int count = Math.min(rotation.maxMarks, marked.size());
    for (int i = 0; i < count; i++) {
      Member<HostState> member = marked.get((first + i) % marked.size());
      HostState state = member.state();
      if (state != null) {
        digest.addAlive(markOf(member, state));
        digest.addAliveAgesMs((int) Math.max(0, nowMillis - member.lastSeenMillis()));
      }
    }
    if (!all) {
      rotation.nextMember = (first + count) % marked.size();
    }
  }

  /** Updates when the hosts marked in a digest were last seen. */
  void apply(Digest digest, long nowMillis) {
    int count = Math.min(digest.getAliveCount(), digest.getAliveAgesMsCount());
    for (int i = 0; i < count; i++) {
      String host = hostsByMark.get(digest.getAlive(i));
      if (host != null) {
        members.updateLastSeen(host, lastSeenMillis(digest.getAliveAgesMs(i), nowMillis));
      }
    }
  }

  /**
   * Returns when a host was last seen, from the age that another host reports. An age above the
   * largest integer decodes as a negative number. Used as is, a damaged or forged datagram would
   * set the time in the future and keep a dead host alive for weeks.
   */
  static long lastSeenMillis(int ageMillis, long nowMillis) {
    return nowMillis - Integer.toUnsignedLong(ageMillis);
  }

  /** Rebuilds the marks of all reachable hosts and drops the others. */
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
