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
  private static final long MIN_PERIOD_MILLIS = 20;

  private static final long PERIOD_PER_HOST_MILLIS = 4;

  /** Items of one datagram: 30 bytes each, so that it fits in one packet. */
  private static final int MAX_ITEMS_PER_DATAGRAM = 32;

  /** Items of each kind that wait to be told at most. */
  private static final int MAX_PENDING = 512;

  /** One host drawn at random is told this often what is held back (ms). */
  private static final long RANDOM_PERIOD_MILLIS = 1_000;

  /** A host that was not heard for this long may have missed what was told (ms). */
  private static final long SILENCE_MILLIS = 1_000;

  private final RequestQuarantine quarantine;
  private final Members<HostState> members;
  private final FleetTopology topology;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final Random random;

  /** What counts most: requests under which several runners ended, and good answers. */
  private final RetransmissionQueue urgent = new RetransmissionQueue(MAX_PENDING);

  /** Requests under which one runner ended: the loss of a domain brings hundreds at once. */
  private final RetransmissionQueue ordinary = new RetransmissionQueue(MAX_PENDING);

  private final Map<String, LastSeen> lastSeen = new HashMap<>();
  private long lastSentMillis = Long.MIN_VALUE / 2;
  private long lastRandomMillis = Long.MIN_VALUE / 2;
  private int nextTermination;

  private record LastSeen(long incarnation, long atMillis) {}

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
    this.topology = shape;
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
    urgent.add(QuarantineChange.cleared(request, atMillis, true), nowMillis);
  }

  /** Adds an end to what is to be told, with those that it follows: they may be pushed out. */
  private void add(RunnerEnd end, boolean toAll, long nowMillis) {
    if (quarantine.isRepeated(end.request())) {
      quarantine
          .endsUnder(end.request())
          .forEach(known -> urgent.add(QuarantineChange.terminated(known, toAll), nowMillis));
    } else {
      ordinary.add(QuarantineChange.terminated(end, toAll), nowMillis);
    }
  }

  /** Tells what is due. */
  public void tick(long nowMillis) {
    sendDue(nowMillis);
    if (nowMillis - lastRandomMillis >= RANDOM_PERIOD_MILLIS) {
      lastRandomMillis = nowMillis;
      sendToRandomHost(nowMillis);
    }
  }

  private void sendDue(long nowMillis) {
    if (!urgent.isDue(nowMillis) && !ordinary.isDue(nowMillis)) {
      return;
    }
    Set<String> near = new HashSet<>();
    Set<String> all = new HashSet<>();
    collectTargets(near, all, nowMillis);
    long period = Math.max(MIN_PERIOD_MILLIS, all.size() * PERIOD_PER_HOST_MILLIS);
    if (nowMillis - lastSentMillis < period) {
      return;
    }
    lastSentMillis = nowMillis;
    List<QuarantineChange> due = urgent.pollDue(MAX_ITEMS_PER_DATAGRAM, nowMillis);
    due.addAll(ordinary.pollDue(MAX_ITEMS_PER_DATAGRAM - due.size(), nowMillis));
    List<QuarantineChange> forAll = due.stream().filter(QuarantineChange::toAllGroups).toList();
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
  private void collectTargets(Set<String> near, Set<String> all, long nowMillis) {
    if (!topology.isLarge()) {
      members.reachable(nowMillis).forEach(member -> near.add(member.ip()));
    } else {
      topology.ownGroupDelegates().forEach(member -> near.add(member.ip()));
      if (topology.isDelegate()) {
        topology.ownGroupNonDelegates(nowMillis).forEach(member -> near.add(member.ip()));
        topology.otherGroupDelegates().forEach(member -> all.add(member.ip()));
        topology.sampleSilentGroups(random, nowMillis).forEach(member -> all.add(member.ip()));
      }
    }
    all.addAll(near);
  }

  private void send(Set<String> ips, List<QuarantineChange> news, long nowMillis) {
    if (ips.isEmpty() || news.isEmpty()) {
      return;
    }
    RunnerEnds.Builder ends = RunnerEnds.newBuilder();
    for (QuarantineChange each : news) {
      RunnerEnd end = each.termination();
      if (end != null) {
        ends.addEnds(StateCodec.encodeTermination(end, nowMillis));
      } else {
        ends.addCleared(
            ClearedRequest.newBuilder()
                .setRequest(each.request())
                .setAgoMs((int) (nowMillis - each.succeededMillis())));
      }
    }
    byte[] bytes = datagrams.get().setEnds(ends).build().toByteArray();
    ips.forEach(ip -> sender.accept(ip, bytes));
  }

  private void sendToRandomHost(long nowMillis) {
    List<Member<HostState>> reachable = members.reachable(nowMillis);
    if (!reachable.isEmpty()) {
      String ip = reachable.get(random.nextInt(reachable.size())).ip();
      sendTerminations(ip, quarantine.heldBackEnds(nowMillis), nowMillis);
    }
  }

  /** Tells a host of ends, others each time if they are more than a datagram holds. */
  private void sendTerminations(String ip, List<RunnerEnd> known, long nowMillis) {
    List<QuarantineChange> told = new ArrayList<>();
    for (int i = 0; i < Math.min(MAX_ITEMS_PER_DATAGRAM, known.size()); i++) {
      told.add(QuarantineChange.terminated(known.get(Math.floorMod(nextTermination++, known.size())), false));
    }
    send(Set.of(ip), told, nowMillis);
  }

  /** Records that a host spoke to this one directly; one that is new or was silent is told all. */
  public void stateReceived(String host, long incarnation, String ip, long nowMillis) {
    LastSeen before = lastSeen.put(host, new LastSeen(incarnation, nowMillis));
    boolean missed =
        before == null
            || before.incarnation != incarnation
            || nowMillis - before.atMillis >= SILENCE_MILLIS;
    if (missed) {
      sendTerminations(ip, quarantine.repeatedEnds(), nowMillis);
      lastSeen.keySet().removeIf(name -> members.find(name).isEmpty() && !name.equals(host));
    }
  }

  /** Takes in what another host told. */
  public void received(String from, String ip, RunnerEnds told, long nowMillis) {
    boolean fromNear = !topology.isLarge() || topology.isInOwnGroup(from);
    boolean passesOn = topology.isLarge() && topology.isDelegate();
    for (ClearedRequest cleared : told.getClearedList()) {
      long at = nowMillis - Integer.toUnsignedLong(cleared.getAgoMs());
      if (quarantine.cleared(cleared.getRequest(), at) && passesOn) {
        urgent.add(QuarantineChange.cleared(cleared.getRequest(), at, fromNear), nowMillis);
      }
    }
    List<QuarantineChange> refuted = new ArrayList<>();
    for (org.sequoiahub.schema.peer.RunnerEnd message : told.getEndsList()) {
      RunnerEnd end = StateCodec.decodeTermination(message, nowMillis);
      boolean news = quarantine.ended(end, nowMillis);
      if (news && passesOn) {
        add(end, fromNear, nowMillis);
      } else if (!news) {
        quarantine
            .refutedAt(end)
            .ifPresent(at -> refuted.add(QuarantineChange.cleared(end.request(), at, false)));
      }
    }
    // The sender does not know of the good answer.
    send(Set.of(ip), refuted, nowMillis);
  }
}
