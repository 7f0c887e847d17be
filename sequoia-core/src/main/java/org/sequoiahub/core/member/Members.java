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
  private static final long UNHEARD_MILLIS = 30_000;

  /** A named host that never answered is tried this often (ms). */
  private static final long UNHEARD_PERIOD_MILLIS = 1_000;

  private final String self;
  private final MemberSettings settings;
  private final Map<String, Member<S>> members = new HashMap<>();
  private final Map<String, Unheard> unheard = new HashMap<>();

  /** The members' addresses: each word of a host names others, and most of them are known. */
  private final Set<String> heardIps = new HashSet<>();

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
   * @param number the number of its last word
   * @param heardMillis when it spoke last
   * @param leaving whether it said that it leaves
   * @param state what it told last
   */
  public record Member<S>(
      String host,
      String ip,
      long incarnation,
      long number,
      long heardMillis,
      boolean leaving,
      @Nullable S state) {}

  private record Unheard(long sinceMillis, long triedMillis) {}

  /**
   * Takes in a host's word; false if it is older than what is known.
   *
   * <p>An incarnation is drawn from the time of day, which may step back between two starts. Were a
   * smaller one refused for good, the restarted host would stay invisible; so it is taken once the
   * larger one has been silent for as long as a suspected host.
   */
  public boolean heard(
      String host,
      String ip,
      long incarnation,
      long number,
      boolean leaving,
      S state,
      long nowMillis) {
    return heardOf(host, ip, incarnation, number, leaving, state, nowMillis, nowMillis);
  }

  /**
   * Takes in a host's word that another host passed on; false if it is older than what is known.
   *
   * @param heardMillis when the word was said, by the age that it was passed on with
   */
  public boolean heardOf(
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
          incarnation < current.incarnation && nowMillis - current.heardMillis < suspectMillis();
      boolean repeated = incarnation == current.incarnation && number <= current.number;
      if (stale || repeated) {
        return false;
      }
    }
    unheard.remove(ip);
    heardIps.add(ip);
    members.put(host, new Member<>(host, ip, incarnation, number, heardMillis, leaving, state));
    return true;
  }

  /** Takes in that the process of a host that is known already was heard at a certain time. */
  public void stillHeard(String host, long heardMillis) {
    Member<S> known = members.get(host);
    if (known != null && known.heardMillis < heardMillis) {
      members.put(
          host,
          new Member<>(
              host,
              known.ip,
              known.incarnation,
              known.number,
              heardMillis,
              known.leaving,
              known.state));
    }
  }

  /** Records that somebody named a host, so that it is tried. */
  public void named(String ip, long nowMillis) {
    if (!heardIps.contains(ip)) {
      unheard.computeIfAbsent(ip, key -> new Unheard(nowMillis, Long.MIN_VALUE / 2));
    }
  }

  /** Returns the members to speak to: all that may be alive. */
  public List<Member<S>> reachable(long nowMillis) {
    List<Member<S>> reachable = new ArrayList<>();
    for (Member<S> member : members.values()) {
      if (nowMillis - member.heardMillis < settings.retainMillis()) {
        reachable.add(member);
      }
    }
    return reachable;
  }

  /** Returns addresses that were named but never answered and are due for a try. */
  public Collection<String> toTry(long nowMillis) {
    Set<String> due = new TreeSet<>();
    unheard.values().removeIf(u -> nowMillis - u.sinceMillis > UNHEARD_MILLIS);
    for (Map.Entry<String, Unheard> entry : unheard.entrySet()) {
      if (nowMillis - entry.getValue().triedMillis >= UNHEARD_PERIOD_MILLIS) {
        due.add(entry.getKey());
        entry.setValue(new Unheard(entry.getValue().sinceMillis, nowMillis));
      }
    }
    return due;
  }

  /** Returns the other hosts that are alive and not leaving. */
  public List<Member<S>> alive(long nowMillis) {
    List<Member<S>> alive = new ArrayList<>();
    for (Member<S> member : members.values()) {
      if (!member.leaving && nowMillis - member.heardMillis < deadMillis()) {
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
  public boolean isSound(String host, long nowMillis) {
    Member<S> member = members.get(host);
    return member != null && !member.leaving && nowMillis - member.heardMillis < suspectMillis();
  }

  /**
   * Returns the hosts, this one included, of which a majority may decide: the living and those that
   * fell silent not long ago, without those that announced their leaving.
   */
  public Set<String> electorate(long nowMillis) {
    Set<String> hosts = new HashSet<>();
    hosts.add(self);
    for (Member<S> member : members.values()) {
      if (!member.leaving && nowMillis - member.heardMillis < settings.retainMillis()) {
        hosts.add(member.host);
      }
    }
    return hosts;
  }

  /** Returns how often each other host is to be told this host's state (ms). */
  public long periodMillis() {
    return settings.periodMillis(members.size());
  }

  private long suspectMillis() {
    return settings.suspectBeats() * periodMillis();
  }

  private long deadMillis() {
    return settings.deadBeats() * periodMillis();
  }

  /** Forgets hosts that have long been silent. */
  public void forget(long nowMillis) {
    boolean any =
        members.values().removeIf(m -> nowMillis - m.heardMillis >= settings.retainMillis());
    if (any) {
      heardIps.clear();
      members.values().forEach(member -> heardIps.add(member.ip));
    }
  }
}
