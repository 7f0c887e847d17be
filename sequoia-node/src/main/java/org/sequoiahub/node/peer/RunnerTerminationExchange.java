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
import org.sequoiahub.core.quarantine.RunnerTermination;
import org.sequoiahub.core.quarantine.RunnerTerminationListener;
import org.sequoiahub.schema.peer.ClearedRequest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.peer.RunnerEnds;

/**
 * Exchanges with the other hosts the requests during which runners terminated. Decision thread
 * only.
 *
 * <p>A change is sent at once and repeated, as datagrams may be lost and a delegate may have died
 * undetected; in a large fleet the delegates forward it. A host that starts, or that reconnects
 * after a network partition, receives the requests with several terminations as soon as its state
 * arrives. In addition, the quarantined requests are sent every second to one host drawn at random,
 * so that no host stays without them.
 */
public final class RunnerTerminationExchange implements RunnerTerminationListener {

  /** Minimum interval between datagrams with changes (ms); more if there are many receivers. */
  private static final long MIN_PERIOD_MILLIS = 20;

  /** Minimum interval between datagrams with changes, for each receiver (ms). */
  private static final long PERIOD_PER_HOST_MILLIS = 4;

  /** Maximum number of items in a datagram: of 30 bytes each, so that it fits in one packet. */
  private static final int MAX_ITEMS_PER_DATAGRAM = 32;

  /** Maximum number of pending items in each queue. */
  private static final int MAX_PENDING = 512;

  /** Interval at which the quarantined requests are sent to one host drawn at random (ms). */
  private static final long RANDOM_PERIOD_MILLIS = 1_000;

  /** A host that was silent for this long may have missed changes (ms). */
  private static final long SILENCE_MILLIS = 1_000;

  private final RequestQuarantine quarantine;
  private final Members<HostState> members;
  private final FleetTopology topology;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final Random random;

  /** Changes with priority: requests with several terminations, and successful responses. */
  private final RetransmissionQueue urgent = new RetransmissionQueue(MAX_PENDING);

  /** Requests with one termination: the loss of a failure domain causes hundreds at once. */
  private final RetransmissionQueue ordinary = new RetransmissionQueue(MAX_PENDING);

  private final Map<String, LastSeen> lastSeen = new HashMap<>();
  private long lastSentMillis = Long.MIN_VALUE / 2;
  private long lastRandomMillis = Long.MIN_VALUE / 2;
  private int nextTermination;

  private record LastSeen(long incarnation, long atMillis) {}

  /**
   * Creates an exchange.
   *
   * @param datagrams creates datagrams of this host, without a body
   * @param sender sends bytes to an IP address
   */
  public RunnerTerminationExchange(
      RequestQuarantine quarantine,
      Members<HostState> members,
      FleetTopology topology,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender,
      Random random) {
    this.quarantine = quarantine;
    this.members = members;
    this.topology = topology;
    this.datagrams = datagrams;
    this.sender = sender;
    this.random = random;
  }

  @Override
  public void onTermination(RunnerTermination end, long nowMillis) {
    add(end, true, nowMillis);
  }

  @Override
  public void onCleared(long request, long atMillis, long nowMillis) {
    urgent.add(QuarantineChange.cleared(request, atMillis, true), nowMillis);
  }

  /**
   * Adds a termination to send. For a request with several terminations the earlier ones are added
   * again, as they may have been dropped from the queue.
   */
  private void add(RunnerTermination termination, boolean toAllGroups, long nowMillis) {
    if (quarantine.hasRepeatedTerminations(termination.request())) {
      quarantine
          .terminations(termination.request())
          .forEach(known -> urgent.add(QuarantineChange.terminated(known, toAllGroups), nowMillis));
    } else {
      ordinary.add(QuarantineChange.terminated(termination, toAllGroups), nowMillis);
    }
  }

  /** Sends the changes that are due. */
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
    Set<String> ownGroup = new HashSet<>();
    Set<String> all = new HashSet<>();
    collectTargets(ownGroup, all, nowMillis);
    long period = Math.max(MIN_PERIOD_MILLIS, all.size() * PERIOD_PER_HOST_MILLIS);
    if (nowMillis - lastSentMillis < period) {
      return;
    }
    lastSentMillis = nowMillis;
    List<QuarantineChange> due = urgent.pollDue(MAX_ITEMS_PER_DATAGRAM, nowMillis);
    due.addAll(ordinary.pollDue(MAX_ITEMS_PER_DATAGRAM - due.size(), nowMillis));
    List<QuarantineChange> forAllGroups =
        due.stream().filter(QuarantineChange::toAllGroups).toList();
    Set<String> otherGroups = new HashSet<>(all);
    otherGroups.removeAll(ownGroup);
    send(ownGroup, due, nowMillis);
    send(otherGroups, forAllGroups, nowMillis);
  }

  /**
   * Collects the receivers. In a small fleet these are all hosts; in a large one they are the
   * delegates of this host's group, which forward changes to the group's other hosts and to the
   * delegates of the other groups.
   *
   * @param ownGroup collects the IP addresses of hosts of this host's own group
   * @param all collects those and the addresses of hosts of other groups
   */
  private void collectTargets(Set<String> ownGroup, Set<String> all, long nowMillis) {
    if (!topology.isLarge()) {
      members.reachable(nowMillis).forEach(member -> ownGroup.add(member.ip()));
    } else {
      topology.ownGroupDelegates().forEach(member -> ownGroup.add(member.ip()));
      if (topology.isDelegate()) {
        topology.ownGroupNonDelegates(nowMillis).forEach(member -> ownGroup.add(member.ip()));
        topology.otherGroupDelegates().forEach(member -> all.add(member.ip()));
        topology.sampleSilentGroups(random, nowMillis).forEach(member -> all.add(member.ip()));
      }
    }
    all.addAll(ownGroup);
  }

  private void send(Set<String> ips, List<QuarantineChange> changes, long nowMillis) {
    if (ips.isEmpty() || changes.isEmpty()) {
      return;
    }
    RunnerEnds.Builder ends = RunnerEnds.newBuilder();
    for (QuarantineChange change : changes) {
      RunnerTermination termination = change.termination();
      if (termination != null) {
        ends.addEnds(StateCodec.encodeTermination(quarantine.current(termination), nowMillis));
      } else {
        ends.addCleared(
            ClearedRequest.newBuilder()
                .setRequest(change.request())
                .setAgoMs((int) (nowMillis - change.succeededMillis())));
      }
    }
    byte[] bytes = datagrams.get().setEnds(ends).build().toByteArray();
    ips.forEach(ip -> sender.accept(ip, bytes));
  }

  private void sendToRandomHost(long nowMillis) {
    List<Member<HostState>> reachable = members.reachable(nowMillis);
    if (!reachable.isEmpty()) {
      String ip = reachable.get(random.nextInt(reachable.size())).ip();
      sendTerminations(ip, quarantine.quarantinedTerminations(nowMillis), nowMillis);
    }
  }

  /** Sends terminations to a host, in rotation if there are too many for one datagram. */
  private void sendTerminations(String ip, List<RunnerTermination> known, long nowMillis) {
    List<QuarantineChange> changes = new ArrayList<>();
    for (int i = 0; i < Math.min(MAX_ITEMS_PER_DATAGRAM, known.size()); i++) {
      changes.add(
          QuarantineChange.terminated(
              known.get(Math.floorMod(nextTermination++, known.size())), false));
    }
    send(Set.of(ip), changes, nowMillis);
  }

  /**
   * Records that a host's state was received from the host itself. A host that is new or was silent
   * is sent all requests with several terminations.
   */
  public void stateReceived(String host, long incarnation, String ip, long nowMillis) {
    LastSeen before = lastSeen.put(host, new LastSeen(incarnation, nowMillis));
    boolean missed =
        before == null
            || before.incarnation != incarnation
            || nowMillis - before.atMillis >= SILENCE_MILLIS;
    if (missed) {
      sendTerminations(ip, quarantine.quarantinedTerminations(nowMillis), nowMillis);
      sendTerminations(ip, quarantine.repeatedTerminations(), nowMillis);
      lastSeen.keySet().removeIf(name -> members.find(name).isEmpty() && !name.equals(host));
    }
  }

  /** Applies the changes received from another host. */
  public void received(String from, String ip, RunnerEnds ends, long nowMillis) {
    boolean fromOwnGroup = !topology.isLarge() || topology.isInOwnGroup(from);
    boolean forwards = topology.isLarge() && topology.isDelegate();
    for (ClearedRequest cleared : ends.getClearedList()) {
      long at = nowMillis - Integer.toUnsignedLong(cleared.getAgoMs());
      if (quarantine.clear(cleared.getRequest(), at) && forwards) {
        urgent.add(QuarantineChange.cleared(cleared.getRequest(), at, fromOwnGroup), nowMillis);
      }
    }
    List<QuarantineChange> refuted = new ArrayList<>();
    for (org.sequoiahub.schema.peer.RunnerEnd message : ends.getEndsList()) {
      RunnerTermination termination = StateCodec.decodeTermination(message, nowMillis);
      announceEarlierSuccess(termination, nowMillis);
      boolean isNew = quarantine.recordTermination(termination, nowMillis);
      if (isNew && forwards) {
        add(termination, fromOwnGroup, nowMillis);
      } else if (!isNew) {
        quarantine
            .successAfter(termination)
            .ifPresent(
                at -> refuted.add(QuarantineChange.cleared(termination.request(), at, false)));
      }
    }
    // The sender does not know of the successful response.
    send(Set.of(ip), refuted, nowMillis);
  }

  /**
   * Informs all hosts of a successful response at this host that followed a termination which was
   * not known then.
   */
  private void announceEarlierSuccess(RunnerTermination termination, long nowMillis) {
    quarantine
        .unannouncedSuccessAfter(termination)
        .ifPresent(
            atMillis -> {
              quarantine.clear(termination.request(), atMillis);
              onCleared(termination.request(), atMillis, nowMillis);
            });
  }
}
