package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.HostAddress;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.HostWord;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.usersplatform.HostSettings;

/** Tells the other hosts this host's state and keeps theirs; runs on the decision thread. */
public final class PeerHeartbeats {

  /** Changes within this time go out together (ms): it bounds datagrams under load. */
  private static final long MIN_PERIOD_MILLIS = 40;

  /**
   * What the runners hold is told on a change and at least this often (ms): it is the larger part
   * of a state, and bytes between failure domains are dear.
   */
  private static final long HOLDINGS_PERIOD_MILLIS = 800;

  /**
   * States sent a second at most when things change: a host's cost must not grow with the fleet, so
   * in a larger one changes are told less often.
   */
  private static final int STATES_PER_SECOND = 400;

  /**
   * In a large fleet a host tells its delegates of changes this often at most (ms), and that it
   * lives as often as members speak, within two bounds: a silent host is suspected the later, the
   * larger the fleet is.
   */
  private static final long MIN_DELEGATE_PERIOD_MILLIS = 100;

  private static final long MIN_HEARTBEAT_MILLIS = 250;

  private static final long MAX_HEARTBEAT_MILLIS = 400;

  /** Hosts named in each state. */
  private static final int GOSSIP_HOSTS = 2;

  private static final int MILLIS_PER_SECOND = 1_000;

  private final HostSettings settings;
  private final long incarnation;
  private final Members<HostState> members;
  private final FleetTopology topology;
  private final FleetSpending spending;
  private final DigestExchange digests;
  private final BiConsumer<String, byte[]> sender;
  private final StateSource ownState;
  private final BiConsumer<String, HostState> stateListener;
  private final Random random;
  private final EventLog log;
  private List<String> seedIps;
  private long sequence;
  private long lastSentMillis = Long.MIN_VALUE / 2;
  private long lastCompleteMillis = Long.MIN_VALUE / 2;
  private boolean changed;
  private boolean holdingsChanged;
  private long lastHoldingsMillis = Long.MIN_VALUE / 2;

  /** Builds this host's state. */
  @FunctionalInterface
  public interface StateSource {
    /**
     * Returns the state as it is now.
     *
     * @param withHoldings whether to tell what the runners that this host orders hold
     * @param complete whether to tell all that is in flight, or only what has changed
     */
    HostState.Builder state(boolean withHoldings, boolean complete);
  }

  /**
   * Creates the heartbeats of a host.
   *
   * @param sender sends bytes to an IP number
   * @param ownState builds this host's state without the gossip
   * @param listener receives each host's newest state
   * @param wordListener receives the states that were passed on, without loads and holdings
   */
  public PeerHeartbeats(
      HostSettings settings,
      long incarnation,
      Members<HostState> members,
      FleetTopology shape,
      FleetLoad loads,
      Holdings holdings,
      FleetSpending spending,
      BiConsumer<String, byte[]> sender,
      StateSource ownState,
      BiConsumer<String, HostState> listener,
      BiConsumer<String, HostState> wordListener,
      Random random,
      EventLog log) {
    this.settings = settings;
    this.seedIps = settings.seeds();
    this.incarnation = incarnation;
    this.members = members;
    this.spending = spending;
    this.sender = sender;
    this.ownState = ownState;
    this.stateListener = listener;
    this.random = random;
    this.log = log;
    this.topology = shape;
    this.digests =
        new DigestExchange(
            settings,
            shape,
            members,
            loads,
            holdings,
            spending,
            this::datagram,
            this::ownReport,
            sender,
            wordListener,
            random);
  }

  /** Returns what this host says of itself, for others to pass on. */
  private HostWord ownReport() {
    return HostWord.newBuilder()
        .setHost(settings.host())
        .setIncarnation(incarnation)
        .setNumber(++sequence)
        .setState(ownState.state(false, true).clearLoads())
        .build();
  }

  /** Sets the IP numbers of hosts that may know the others. */
  public void updateSeeds(List<String> now) {
    seedIps = List.copyOf(now);
  }

  /** Records that this host's state has changed: the others are told soon. */
  public void changed() {
    changed = true;
  }

  /** Records that what a runner holds has changed. */
  public void holdingsChanged() {
    changed = true;
    holdingsChanged = true;
  }

  /** Tells what is due. */
  public void tick(long nowMillis) {
    if (topology.refresh(nowMillis)) {
      digests.refresh(nowMillis);
    }
    if (topology.isLarge()) {
      tickLarge(nowMillis);
    } else {
      tickSmall(nowMillis);
    }
  }

  private void tickLarge(long nowMillis) {
    long since = nowMillis - lastSentMillis;
    long heartbeat =
        Math.max(MIN_HEARTBEAT_MILLIS, Math.min(MAX_HEARTBEAT_MILLIS, members.periodMillis()));
    if (since >= heartbeat || (changed && since >= MIN_DELEGATE_PERIOD_MILLIS)) {
      send(topology.ownGroupDelegates(), true, nowMillis);
    }
    digests.tick(nowMillis);
  }

  private void tickSmall(long nowMillis) {
    int peers = members.reachable(nowMillis).size();
    long period = Math.max(MIN_PERIOD_MILLIS, (long) peers * MILLIS_PER_SECOND / STATES_PER_SECOND);
    long since = nowMillis - lastSentMillis;
    if (since >= members.periodMillis() || (changed && since >= period)) {
      sendToAll(nowMillis);
    }
  }

  /** Tells all hosts at once. */
  public void sendToAll(long nowMillis) {
    send(members.reachable(nowMillis), topology.isLarge(), nowMillis);
  }

  private void send(List<Member<HostState>> told, boolean whole, long nowMillis) {
    lastSentMillis = nowMillis;
    changed = false;
    seedIps.stream()
        .filter(ip -> !ip.equals(settings.ip()))
        .forEach(ip -> members.named(ip, nowMillis));
    boolean withHoldings = holdingsChanged || nowMillis - lastHoldingsMillis >= HOLDINGS_PERIOD_MILLIS;
    if (withHoldings) {
      holdingsChanged = false;
      lastHoldingsMillis = nowMillis;
    }
    boolean complete = whole || nowMillis - lastCompleteMillis >= members.periodMillis();
    HostState.Builder state = ownState.state(withHoldings, complete);
    if (!spending.isUnused()) {
      state.setSpending(StateCodec.encodeSpending(spending.ownPart(nowMillis)));
    }
    if (complete) {
      lastCompleteMillis = nowMillis;
      addGossip(told, state);
    }
    byte[] bytes = datagram().setState(state).build().toByteArray();
    told.forEach(member -> sender.accept(member.ip(), bytes));
    members.toTry(nowMillis).forEach(ip -> sender.accept(ip, bytes));
  }

  /** Returns a datagram of this host, to be given a body. */
  public PeerDatagram.Builder datagram() {
    return PeerDatagram.newBuilder()
        .setHost(settings.host())
        .setIncarnation(incarnation)
        .setNumber(++sequence);
  }

  /** Takes in another host's state. */
  public void received(String ip, PeerDatagram datagram, long nowMillis) {
    HostState state = datagram.getState();
    boolean known = members.find(datagram.getHost()).isPresent();
    boolean wasAlive = members.isSound(datagram.getHost(), nowMillis);
    boolean news =
        members.heard(
            datagram.getHost(),
            ip,
            datagram.getIncarnation(),
            datagram.getNumber(),
            state.getLeaving(),
            state,
            nowMillis);
    if (!news) {
      return;
    }
    for (HostAddress named : state.getGossipList()) {
      if (!named.getIp().equals(settings.ip())) {
        members.named(named.getIp(), nowMillis);
      }
    }
    if (!wasAlive && !state.getLeaving()) {
      log.info("host-alive", "peer", datagram.getHost(), "known", known);
      holdingsChanged();
    }
    stateListener.accept(datagram.getHost(), state);
    digests.applySpending(datagram.getHost(), datagram.getIncarnation(), state, nowMillis);
    boolean toDelegate = topology.isDelegate() && topology.isInOwnGroup(datagram.getHost());
    if (topology.isLarge() && !toDelegate && !state.getLeaving()) {
      // In a large fleet a host speaks directly only to its delegates and to strangers.
      digests.sendMembership(ip, nowMillis);
    }
  }

  /** Takes in a digest that came from an IP number. */
  public void receivedDigest(String ip, PeerDatagram datagram, long nowMillis) {
    String teller = DigestExchange.reporterId(datagram.getHost(), datagram.getIncarnation());
    digests.received(ip, teller, datagram.getDigest(), nowMillis);
  }

  private void addGossip(List<Member<HostState>> told, HostState.Builder state) {
    List<Member<HostState>> shuffled = new ArrayList<>(told);
    Collections.shuffle(shuffled, random);
    for (Member<HostState> member : shuffled.subList(0, Math.min(GOSSIP_HOSTS, shuffled.size()))) {
      state.addGossip(HostAddress.newBuilder().setHost(member.host()).setIp(member.ip()));
    }
  }
}
