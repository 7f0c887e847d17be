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
 * The hosts that this host knows of.
 *
 * <p>A host is found through a seed or because another one named it, and is a member from its first
 * own word on. Leaving is announced; silence is suspected before it is believed. All times are of
 * this host's monotonic clock.
 *
 * @param <S> what a host tells of itself
 */
public final class Members<S> {

  /** A host that was named but never answered is forgotten after this (ms). */
  private static final long CANDIDATE_RETENTION_MILLIS = 30_000;

  /** A named host that never answered is tried this often (ms). */
  private static final long CANDIDATE_RETRY_MILLIS = 1_000;

  private final String self;
  private final MemberSettings settings;
  private final Map<String, Member<S>> members = new HashMap<>();
  private final Map<String, Candidate> candidates = new HashMap<>();

  /** The members' addresses: each word of a host names others, and most of them are known. */
  private final Set<String> memberIps = new HashSet<>();

  /** Creates a view that knows only this host. */
  public Members(String self, MemberSettings settings) {
    this.self = requireNonNull(self, "self must not be null");
    this.settings = requireNonNull(settings, "settings must not be null");
  }

  /**
   * One host.
   *
   * @param host its name
   * @param ip where it receives datagrams
   * @param incarnation which of its processes spoke last
   * @param sequence the number of its last word
   * @param lastSeenMillis when it spoke last
   * @param leaving whether it said that it leaves
   * @param state what it told last
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
   * Takes in a host's word; false if it is older than what is known.
   *
   * <p>An incarnation is drawn from the time of day, which may step back between two starts. Were a
   * smaller one refused for good, the restarted host would stay invisible; so it is taken once the
   * larger one has been silent for as long as a suspected host.
   */
  public boolean receive(
      String host,
      String ip,
      long incarnation,
      long number,
      boolean leaving,
      S state,
      long nowMillis) {
    return receiveForwarded(host, ip, incarnation, number, leaving, state, nowMillis, nowMillis);
  }

  /**
   * Takes in a host's word that another host passed on; false if it is older than what is known.
   *
   * @param heardMillis when the word was said, by the age that it was passed on with
   */
  public boolean receiveForwarded(
      String host,
      String ip,
      long incarnation,
      long number,
      boolean leaving,
      S state,
      long heardMillis,
      long nowMillis) {
    if (host.equals(self) || nowMillis - heardMillis >= settings.retainMillis()) {
      return false;
    }
    Member<S> current = members.get(host);
    if (current != null) {
      boolean stale =
          incarnation < current.incarnation && nowMillis - current.lastSeenMillis < suspectMillis();
      boolean repeated = incarnation == current.incarnation && number <= current.sequence;
      if (stale || repeated) {
        return false;
      }
    }
    candidates.remove(ip);
    memberIps.add(ip);
    members.put(host, new Member<>(host, ip, incarnation, number, heardMillis, leaving, state));
    return true;
  }

  /** Takes in that the process of a host that is known already was heard at a certain time. */
  public void updateLastSeen(String host, long heardMillis) {
    Member<S> known = members.get(host);
    if (known != null && known.lastSeenMillis < heardMillis) {
      members.put(
          host,
          new Member<>(
              host,
              known.ip,
              known.incarnation,
              known.sequence,
              heardMillis,
              known.leaving,
              known.state));
    }
  }

  /** Records that somebody named a host, so that it is tried. */
  public void addCandidate(String ip, long nowMillis) {
    if (!memberIps.contains(ip)) {
      candidates.computeIfAbsent(ip, key -> new Candidate(nowMillis, Long.MIN_VALUE / 2));
    }
  }

  /** Returns the members to speak to: all that may be alive. */
  public List<Member<S>> reachable(long nowMillis) {
    List<Member<S>> reachable = new ArrayList<>();
    for (Member<S> member : members.values()) {
      if (nowMillis - member.lastSeenMillis < settings.retainMillis()) {
        reachable.add(member);
      }
    }
    return reachable;
  }

  /** Returns addresses that were named but never answered and are due for a try. */
  public Collection<String> candidatesDue(long nowMillis) {
    Set<String> due = new TreeSet<>();
    candidates.values().removeIf(u -> nowMillis - u.sinceMillis > CANDIDATE_RETENTION_MILLIS);
    for (Map.Entry<String, Candidate> entry : candidates.entrySet()) {
      if (nowMillis - entry.getValue().lastTriedMillis >= CANDIDATE_RETRY_MILLIS) {
        due.add(entry.getKey());
        entry.setValue(new Candidate(entry.getValue().sinceMillis, nowMillis));
      }
    }
    return due;
  }

  /** Returns the other hosts that are alive and not leaving. */
  public List<Member<S>> alive(long nowMillis) {
    List<Member<S>> alive = new ArrayList<>();
    for (Member<S> member : members.values()) {
      if (!member.leaving && nowMillis - member.lastSeenMillis < deadMillis()) {
        alive.add(member);
      }
    }
    return alive;
  }

  /** Returns a host. */
  public Optional<Member<S>> find(String host) {
    return Optional.ofNullable(members.get(host));
  }

  /** Returns whether a host spoke lately and does not leave. */
  public boolean isHealthy(String host, long nowMillis) {
    Member<S> member = members.get(host);
    return member != null && !member.leaving && nowMillis - member.lastSeenMillis < suspectMillis();
  }

  /**
   * Returns the hosts, this one included, of which a majority may decide: the living and those that
   * fell silent not long ago, without those that announced their leaving.
   */
  public Set<String> electorate(long nowMillis) {
    Set<String> hosts = new HashSet<>();
    hosts.add(self);
    for (Member<S> member : members.values()) {
      if (!member.leaving && nowMillis - member.lastSeenMillis < settings.retainMillis()) {
        hosts.add(member.host);
      }
    }
    return hosts;
  }

  /** Returns how often each other host is to be told this host's state (ms). */
  public long heartbeatPeriodMillis() {
    return settings.heartbeatPeriodMillis(members.size());
  }

  private long suspectMillis() {
    return settings.suspectAfterHeartbeats() * heartbeatPeriodMillis();
  }

  private long deadMillis() {
    return settings.deadAfterHeartbeats() * heartbeatPeriodMillis();
  }

  /** Forgets hosts that have long been silent. */
  public void removeExpired(long nowMillis) {
    boolean any =
        members.values().removeIf(m -> nowMillis - m.lastSeenMillis >= settings.retainMillis());
    if (any) {
      memberIps.clear();
      members.values().forEach(member -> memberIps.add(member.ip));
    }
  }
}
