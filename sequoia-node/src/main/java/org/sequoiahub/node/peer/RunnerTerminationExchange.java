package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.quarantine.RequestQuarantine;
import org.sequoiahub.core.quarantine.RunnerEnd;
import org.sequoiahub.core.quarantine.RunnerEndListener;
import org.sequoiahub.schema.peer.ClearedRequest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.peer.RunnerEnds;

/**
 * Tells the other hosts under which requests runners ended, and learns it from them; decision
 * thread only.
 *
 * <p>News goes out at once and is repeated, as datagrams get lost and a delegate may have died
 * unnoticed; in a large fleet the delegates pass it on. A host that starts, or comes back from a
 * cut, is told of the requests under which several runners ended as soon as it is heard. The ones
 * that are held back are told to one host drawn at random every second besides, so that nobody
 * stays without them.
 */
public final class RunnerTerminationExchange implements RunnerEndListener {

  /** Datagrams of news are this far apart at least (ms), and more if many hosts are told. */
  private static final long PERIOD_MILLIS = 20;

  private static final long PERIOD_PER_HOST_MILLIS = 4;

  /** Items of one datagram: 30 bytes each, so that it fits in one packet. */
  private static final int MAX_ITEMS = 32;

  /** Items of each kind that wait to be told at most. */
  private static final int MAX_WAITING = 512;

  /** One host drawn at random is told this often what is held back (ms). */
  private static final long RANDOM_MILLIS = 1_000;

  /** A host that was not heard for this long may have missed what was told (ms). */
  private static final long SILENCE_MILLIS = 1_000;

  private final RequestQuarantine quarantine;
  private final Members<HostState> members;
  private final FleetTopology shape;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final Random random;

  /** What counts most: requests under which several runners ended, and good answers. */
  private final RepeatedNews urgent = new RepeatedNews(MAX_WAITING);

  /** Requests under which one runner ended: the loss of a domain brings hundreds at once. */
  private final RepeatedNews ordinary = new RepeatedNews(MAX_WAITING);

  private final Map<String, Heard> stateReceived = new HashMap<>();
  private long toldMillis = Long.MIN_VALUE / 2;
  private long randomMillis = Long.MIN_VALUE / 2;
  private int turn;

  private record Heard(long incarnation, long atMillis) {}

  /**
   * Creates an exchange.
   *
   * @param datagrams begins a datagram of this host
   * @param sender sends bytes to an IP number
   */
  public RunnerTerminationExchange(
      RequestQuarantine quarantine,
      Members<HostState> members,
      FleetTopology shape,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender,
      Random random) {
    this.quarantine = quarantine;
    this.members = members;
    this.shape = shape;
    this.datagrams = datagrams;
    this.sender = sender;
    this.random = random;
  }

  @Override
  public void ended(RunnerEnd end, long nowMillis) {
    add(end, true, nowMillis);
  }

  @Override
  public void cleared(long request, long atMillis, long nowMillis) {
    urgent.add(News.cleared(request, atMillis, true), nowMillis);
  }

  /** Adds an end to what is to be told, with those that it follows: they may be pushed out. */
  private void add(RunnerEnd end, boolean toAll, long nowMillis) {
    if (quarantine.isRepeated(end.request())) {
      quarantine
          .endsUnder(end.request())
          .forEach(known -> urgent.add(News.ended(known, toAll), nowMillis));
    } else {
      ordinary.add(News.ended(end, toAll), nowMillis);
    }
  }

  /** Tells what is due. */
  public void tick(long nowMillis) {
    tellNews(nowMillis);
    if (nowMillis - randomMillis >= RANDOM_MILLIS) {
      randomMillis = nowMillis;
      tellOneAtRandom(nowMillis);
    }
  }

  private void tellNews(long nowMillis) {
    if (!urgent.isDue(nowMillis) && !ordinary.isDue(nowMillis)) {
      return;
    }
    Set<String> near = new HashSet<>();
    Set<String> all = new HashSet<>();
    targets(near, all, nowMillis);
    long period = Math.max(PERIOD_MILLIS, all.size() * PERIOD_PER_HOST_MILLIS);
    if (nowMillis - toldMillis < period) {
      return;
    }
    toldMillis = nowMillis;
    List<News> due = urgent.take(MAX_ITEMS, nowMillis);
    due.addAll(ordinary.take(MAX_ITEMS - due.size(), nowMillis));
    List<News> forAll = due.stream().filter(News::toAll).toList();
    Set<String> far = new HashSet<>(all);
    far.removeAll(near);
    send(near, due, nowMillis);
    send(far, forAll, nowMillis);
  }

  /**
   * Finds whom to tell: in a small fleet everybody; in a large one the delegates of this host's
   * group, which tell the group's other hosts and the delegates of the other groups.
   *
   * @param near receives the IP numbers of hosts of this host's own group
   * @param all receives those and the ones of other groups
   */
  private void targets(Set<String> near, Set<String> all, long nowMillis) {
    if (!shape.isLarge()) {
      members.reachable(nowMillis).forEach(member -> near.add(member.ip()));
    } else {
      shape.ownGroupDelegates().forEach(member -> near.add(member.ip()));
      if (shape.isDelegate()) {
        shape.ownGroupNonDelegates(nowMillis).forEach(member -> near.add(member.ip()));
        shape.otherGroupDelegates().forEach(member -> all.add(member.ip()));
        shape.sampleSilentGroups(random, nowMillis).forEach(member -> all.add(member.ip()));
      }
    }
    all.addAll(near);
  }

  private void send(Set<String> ips, List<News> news, long nowMillis) {
    if (ips.isEmpty() || news.isEmpty()) {
      return;
    }
    RunnerEnds.Builder ends = RunnerEnds.newBuilder();
    for (News each : news) {
      RunnerEnd end = each.end();
      if (end != null) {
        ends.addEnds(StateCodec.encodeTermination(end, nowMillis));
      } else {
        ends.addCleared(
            ClearedRequest.newBuilder()
                .setRequest(each.request())
                .setAgoMs((int) (nowMillis - each.atMillis())));
      }
    }
    byte[] bytes = datagrams.get().setEnds(ends).build().toByteArray();
    ips.forEach(ip -> sender.accept(ip, bytes));
  }

  private void tellOneAtRandom(long nowMillis) {
    List<Member<HostState>> reachable = members.reachable(nowMillis);
    if (!reachable.isEmpty()) {
      String ip = reachable.get(random.nextInt(reachable.size())).ip();
      tell(ip, quarantine.heldBackEnds(nowMillis), nowMillis);
    }
  }

  /** Tells a host of ends, others each time if they are more than a datagram holds. */
  private void tell(String ip, List<RunnerEnd> known, long nowMillis) {
    List<News> told = new ArrayList<>();
    for (int i = 0; i < Math.min(MAX_ITEMS, known.size()); i++) {
      told.add(News.ended(known.get(Math.floorMod(turn++, known.size())), false));
    }
    send(Set.of(ip), told, nowMillis);
  }

  /** Records that a host spoke to this one directly; one that is new or was silent is told all. */
  public void stateReceived(String host, long incarnation, String ip, long nowMillis) {
    Heard before = stateReceived.put(host, new Heard(incarnation, nowMillis));
    boolean missed =
        before == null
            || before.incarnation != incarnation
            || nowMillis - before.atMillis >= SILENCE_MILLIS;
    if (missed) {
      tell(ip, quarantine.repeatedEnds(), nowMillis);
      stateReceived.keySet().removeIf(name -> members.find(name).isEmpty() && !name.equals(host));
    }
  }

  /** Takes in what another host told. */
  public void received(String from, String ip, RunnerEnds told, long nowMillis) {
    boolean fromNear = !shape.isLarge() || shape.isInOwnGroup(from);
    boolean passesOn = shape.isLarge() && shape.isDelegate();
    for (ClearedRequest cleared : told.getClearedList()) {
      long at = nowMillis - Integer.toUnsignedLong(cleared.getAgoMs());
      if (quarantine.cleared(cleared.getRequest(), at) && passesOn) {
        urgent.add(News.cleared(cleared.getRequest(), at, fromNear), nowMillis);
      }
    }
    List<News> refuted = new ArrayList<>();
    for (org.sequoiahub.schema.peer.RunnerEnd message : told.getEndsList()) {
      RunnerEnd end = StateCodec.decodeTermination(message, nowMillis);
      boolean news = quarantine.ended(end, nowMillis);
      if (news && passesOn) {
        add(end, fromNear, nowMillis);
      } else if (!news) {
        quarantine
            .refutedAt(end)
            .ifPresent(at -> refuted.add(News.cleared(end.request(), at, false)));
      }
    }
    // The sender does not know of the good answer.
    send(Set.of(ip), refuted, nowMillis);
  }
}
