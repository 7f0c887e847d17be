package org.sequoiahub.node.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
public final class RunnerEndExchange implements RunnerEndListener {

  /** When news is told again after it was told first (ms); 3 s outlast a delegate's succession. */
  private static final long[] REPEAT_MILLIS = {200, 800, 2_000};

  /** Datagrams of news are this far apart at least (ms), and more if many hosts are told. */
  private static final long PERIOD_MILLIS = 20;

  private static final long PERIOD_PER_HOST_MILLIS = 4;

  /** Items of one datagram: 30 bytes each, so that it fits in one packet. */
  private static final int MAX_ITEMS = 32;

  /** Items that wait to be told at most: the loss of a domain brings hundreds at once. */
  private static final int MAX_WAITING = 1_024;

  /** One host drawn at random is told this often what is held back (ms). */
  private static final long RANDOM_MILLIS = 1_000;

  /** A host that was not heard for this long may have missed what was told (ms). */
  private static final long SILENCE_MILLIS = 1_000;

  private final RequestQuarantine quarantine;
  private final Members<HostState> members;
  private final FleetShape shape;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final Random random;

  /** What waits to be told, by how often it has been told; each queue is in the order of time. */
  private final List<Deque<Telling>> tellings = new ArrayList<>();

  private final Map<String, Heard> heard = new HashMap<>();
  private long toldMillis = Long.MIN_VALUE / 2;
  private long randomMillis = Long.MIN_VALUE / 2;
  private int turn;

  /** Either an end or the good answer of a request, and whom to tell. */
  private record Telling(
      Optional<RunnerEnd> end, long request, long atMillis, boolean toAll, long dueMillis) {

    Telling dueAt(long millis) {
      return new Telling(end, request, atMillis, toAll, millis);
    }
  }

  private record Heard(long incarnation, long atMillis) {}

  /**
   * Creates an exchange.
   *
   * @param datagrams begins a datagram of this host
   * @param sender sends bytes to an IP number
   */
  public RunnerEndExchange(
      RequestQuarantine quarantine,
      Members<HostState> members,
      FleetShape shape,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender,
      Random random) {
    this.quarantine = quarantine;
    this.members = members;
    this.shape = shape;
    this.datagrams = datagrams;
    this.sender = sender;
    this.random = random;
    for (int i = 0; i <= REPEAT_MILLIS.length; i++) {
      tellings.add(new ArrayDeque<>());
    }
  }

  @Override
  public void ended(RunnerEnd end, long nowMillis) {
    add(new Telling(Optional.of(end), end.request(), 0, true, nowMillis));
  }

  @Override
  public void cleared(long request, long atMillis, long nowMillis) {
    add(new Telling(Optional.empty(), request, atMillis, true, nowMillis));
  }

  /** News pushes out what has been told most often. */
  private void add(Telling telling) {
    int waiting = tellings.stream().mapToInt(Deque::size).sum();
    for (int i = tellings.size() - 1; i >= 0 && waiting >= MAX_WAITING; i--) {
      if (!tellings.get(i).isEmpty()) {
        tellings.get(i).removeFirst();
        waiting--;
      }
    }
    tellings.get(0).addLast(telling);
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
    if (tellings.stream().noneMatch(queue -> isDue(queue, nowMillis))) {
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
    List<Telling> due = takeDue(nowMillis);
    List<Telling> forAll = due.stream().filter(Telling::toAll).toList();
    Set<String> far = new HashSet<>(all);
    far.removeAll(near);
    send(near, due, nowMillis);
    send(far, forAll, nowMillis);
  }

  private static boolean isDue(Deque<Telling> queue, long nowMillis) {
    Telling first = queue.peekFirst();
    return first != null && first.dueMillis <= nowMillis;
  }

  private List<Telling> takeDue(long nowMillis) {
    List<Telling> due = new ArrayList<>();
    for (int told = 0; told < tellings.size(); told++) {
      Deque<Telling> queue = tellings.get(told);
      while (due.size() < MAX_ITEMS && isDue(queue, nowMillis)) {
        Telling telling = queue.removeFirst();
        due.add(telling);
        if (told < REPEAT_MILLIS.length) {
          tellings.get(told + 1).addLast(telling.dueAt(nowMillis + REPEAT_MILLIS[told]));
        }
      }
    }
    return due;
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
      shape.nearDelegates().forEach(member -> near.add(member.ip()));
      if (shape.isDelegate()) {
        shape.nearOthers(nowMillis).forEach(member -> near.add(member.ip()));
        shape.farDelegates().forEach(member -> all.add(member.ip()));
        shape.strangers(random, nowMillis).forEach(member -> all.add(member.ip()));
      }
    }
    all.addAll(near);
  }

  private void send(Set<String> ips, List<Telling> tellings, long nowMillis) {
    if (ips.isEmpty() || tellings.isEmpty()) {
      return;
    }
    RunnerEnds.Builder ends = RunnerEnds.newBuilder();
    for (Telling telling : tellings) {
      if (telling.end.isPresent()) {
        ends.addEnds(StateCodec.encodeEnd(telling.end.get(), nowMillis));
      } else {
        ends.addCleared(
            ClearedRequest.newBuilder()
                .setRequest(telling.request)
                .setAgoMs((int) (nowMillis - telling.atMillis)));
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
    List<Telling> told = new ArrayList<>();
    for (int i = 0; i < Math.min(MAX_ITEMS, known.size()); i++) {
      RunnerEnd end = known.get(Math.floorMod(turn++, known.size()));
      told.add(new Telling(Optional.of(end), end.request(), 0, false, nowMillis));
    }
    send(Set.of(ip), told, nowMillis);
  }

  /** Records that a host spoke to this one directly; one that is new or was silent is told all. */
  public void heard(String host, long incarnation, String ip, long nowMillis) {
    Heard before = heard.put(host, new Heard(incarnation, nowMillis));
    boolean missed =
        before == null
            || before.incarnation != incarnation
            || nowMillis - before.atMillis >= SILENCE_MILLIS;
    if (missed) {
      tell(ip, quarantine.repeatedEnds(), nowMillis);
      heard.keySet().removeIf(name -> members.find(name).isEmpty() && !name.equals(host));
    }
  }

  /** Takes in what another host told. */
  public void received(String from, String ip, RunnerEnds told, long nowMillis) {
    boolean fromNear = !shape.isLarge() || shape.isNear(from);
    boolean passesOn = shape.isLarge() && shape.isDelegate();
    for (ClearedRequest cleared : told.getClearedList()) {
      long at = nowMillis - Integer.toUnsignedLong(cleared.getAgoMs());
      if (quarantine.cleared(cleared.getRequest(), at) && passesOn) {
        add(new Telling(Optional.empty(), cleared.getRequest(), at, fromNear, nowMillis));
      }
    }
    List<Telling> refuted = new ArrayList<>();
    for (org.sequoiahub.schema.peer.RunnerEnd message : told.getEndsList()) {
      RunnerEnd end = StateCodec.decodeEnd(message, nowMillis);
      if (quarantine.ended(end, nowMillis)) {
        if (passesOn) {
          add(new Telling(Optional.of(end), end.request(), 0, fromNear, nowMillis));
        }
      } else {
        quarantine
            .refutedAt(end)
            .ifPresent(
                at ->
                    refuted.add(
                        new Telling(Optional.empty(), end.request(), at, false, nowMillis)));
      }
    }
    // The sender does not know of the good answer.
    send(Set.of(ip), refuted, nowMillis);
  }
}
