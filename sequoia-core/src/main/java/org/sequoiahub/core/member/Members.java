package org.sequoiahub.core.member;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The other hosts that this host knows.
 *
 * <p>A host is discovered through a seed or because another host named it, and becomes a member
 * with its own first message. Leaving is announced; a silent host is suspected first and considered
 * dead later. All times are of this host's monotonic clock.
 *
 * @param <S> the state that a host advertises
 */
public final class Members<S> {

  /** How long a named host that never replied is remembered (ms). */
  private static final long CANDIDATE_RETENTION_MILLIS = 30_000;

  /** The interval between attempts to contact a named host that never replied (ms). */
  private static final long CANDIDATE_RETRY_MILLIS = 1_000;

  private final String self;
  private final MemberSettings settings;
  private final Map<String, Member<S>> members = new HashMap<>();
  private final Map<String, Candidate> candidates = new HashMap<>();

  /** The members' addresses. Every message names other hosts, most of which are members already. */
  private final Set<String> memberIps = new HashSet<>();

  /** The electorate as last determined; null if it must be determined again. */
  private @Nullable Set<String> electorate;

  /** When a member may have left the electorate by its silence (ms). */
  private long electorateValidUntilMillis;

  /** Creates a view that contains no other host. */
  public Members(String self, MemberSettings settings) {
    this.self = requireNonNull(self, "self must not be null");
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * A host that sent a message.
   *
   * @param host the host's name
   * @param ip the address at which it receives datagrams
   * @param incarnation which of its processes sent the last message
   * @param sequence the sequence number of its last message
   * @param lastSeenMillis when it sent its last message
   * @param leaving whether it announced that it leaves
   * @param state the state that it advertised last
   */
  public record Member<S>(
      String host,
      String ip,
      long incarnation,
      long sequence,
      long lastSeenMillis,
      boolean leaving,
      @Nullable S state) {}

  private record Candidate(long sinceMillis, long lastTriedMillis) {}

  /**
   * Applies a message that a host sent to this one.
   *
   * <p>An incarnation is derived from the time of day, which may step back between two starts. If a
   * smaller incarnation were rejected for good, the restarted host would remain invisible, so it is
   * accepted once the larger one has been silent for as long as a suspected host.
   *
   * @return false if the message is older than what is known
   */
  public boolean receive(
      String host,
      String ip,
      long incarnation,
      long sequence,
      boolean leaving,
      S state,
      long nowMillis) {
    return receiveForwarded(host, ip, incarnation, sequence, leaving, state, nowMillis, nowMillis);
  }

  /**
   * Applies a message that another host forwarded.
   *
   * @param lastSeenMillis when the message was sent, according to the age with which it was
   *     forwarded
   * @return false if the message is older than what is known
   */
  public boolean receiveForwarded(
      String host,
      String ip,
      long incarnation,
      long sequence,
      boolean leaving,
      S state,
      long lastSeenMillis,
      long nowMillis) {
    if (host.equals(self) || nowMillis - lastSeenMillis >= settings.retainMillis()) {
      return false;
    }
    Member<S> current = members.get(host);
    if (current != null) {
      boolean stale =
          incarnation < current.incarnation && nowMillis - current.lastSeenMillis < suspectMillis();
      boolean repeated = incarnation == current.incarnation && sequence <= current.sequence;
      if (stale || repeated) {
        return false;
      }
    }
    candidates.remove(ip);
    memberIps.add(ip);
    put(new Member<>(host, ip, incarnation, sequence, lastSeenMillis, leaving, state));
    return true;
  }

  /** Records that the last known process of a member was alive at a given time. */
  public void updateLastSeen(String host, long lastSeenMillis) {
    Member<S> known = members.get(host);
    if (known != null && known.lastSeenMillis < lastSeenMillis) {
      put(
          new Member<>(
              host,
              known.ip,
              known.incarnation,
              known.sequence,
              lastSeenMillis,
              known.leaving,
              known.state));
    }
  }

  private void put(Member<S> member) {
    members.put(member.host, member);
    if (electorate != null && electorate.contains(member.host) == member.leaving) {
      electorate = null;
    }
  }

  /** Records the address of a host that another one named, so that it is contacted. */
  public void addCandidate(String ip, long nowMillis) {
    if (!memberIps.contains(ip)) {
      candidates.computeIfAbsent(ip, key -> new Candidate(nowMillis, Long.MIN_VALUE / 2));
    }
  }

  /** Returns the members to send messages to: all that may be alive. */
  public List<Member<S>> reachable(long nowMillis) {
    List<Member<S>> reachable = new ArrayList<>();
    for (Member<S> member : members.values()) {
      if (nowMillis - member.lastSeenMillis < settings.retainMillis()) {
        reachable.add(member);
      }
    }
    return reachable;
  }

  /** Returns the addresses of named hosts that never replied and are due to be contacted. */
  public Collection<String> candidatesDue(long nowMillis) {
    Set<String> due = new TreeSet<>();
    candidates
        .values()
        .removeIf(candidate -> nowMillis - candidate.sinceMillis > CANDIDATE_RETENTION_MILLIS);
    for (Map.Entry<String, Candidate> entry : candidates.entrySet()) {
      if (nowMillis - entry.getValue().lastTriedMillis >= CANDIDATE_RETRY_MILLIS) {
        due.add(entry.getKey());
        entry.setValue(new Candidate(entry.getValue().sinceMillis, nowMillis));
      }
    }
    return due;
  }

  /** Returns the members that are alive and not leaving. */
  public List<Member<S>> alive(long nowMillis) {
    List<Member<S>> alive = new ArrayList<>();
    for (Member<S> member : members.values()) {
      if (!member.leaving && nowMillis - member.lastSeenMillis < deadMillis()) {
        alive.add(member);
      }
    }
    return alive;
  }

  /** Returns a member by its name. */
  public Optional<Member<S>> find(String host) {
    return Optional.ofNullable(members.get(host));
  }

  /** Returns whether a member is neither suspected nor leaving. */
  public boolean isHealthy(String host, long nowMillis) {
    Member<S> member = members.get(host);
    return member != null && !member.leaving && nowMillis - member.lastSeenMillis < suspectMillis();
  }

  /**
   * Returns the hosts, this one included, of which a majority may decide: those that are alive or
   * fell silent recently, without those that announced that they leave.
   */
  public Set<String> electorate(long nowMillis) {
    Set<String> current = electorate;
    if (current != null && nowMillis < electorateValidUntilMillis) {
      return current;
    }
    Set<String> hosts = new HashSet<>();
    hosts.add(self);
    long validUntilMillis = Long.MAX_VALUE;
    for (Member<S> member : members.values()) {
      long endMillis = member.lastSeenMillis + settings.retainMillis();
      if (!member.leaving && nowMillis < endMillis) {
        hosts.add(member.host);
        validUntilMillis = Math.min(validUntilMillis, endMillis);
      }
    }
    Set<String> determined = Set.copyOf(hosts);
    electorate = determined;
    electorateValidUntilMillis = validUntilMillis;
    return determined;
  }

  /** Returns the period at which each member is sent a heartbeat (ms). */
  public long heartbeatPeriodMillis() {
    return settings.heartbeatPeriodMillis(members.size());
  }

  private long suspectMillis() {
    return settings.suspectAfterHeartbeats() * heartbeatPeriodMillis();
  }

  private long deadMillis() {
    return settings.deadAfterHeartbeats() * heartbeatPeriodMillis();
  }

  /** Removes members that have been silent for {@link MemberSettings#retainMillis}. */
  public void removeExpired(long nowMillis) {
    boolean removed =
        members
            .values()
            .removeIf(member -> nowMillis - member.lastSeenMillis >= settings.retainMillis());
    if (removed) {
      electorate = null;
      memberIps.clear();
      members.values().forEach(member -> memberIps.add(member.ip));
    }
  }
}
