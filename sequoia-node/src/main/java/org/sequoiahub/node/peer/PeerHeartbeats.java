package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.ObjLongConsumer;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostAddress;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.HostStateOrBuilder;
import org.sequoiahub.schema.peer.HostWord;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.usersplatform.HostSettings;

/** Sends this host's state to the other hosts and applies theirs. Runs on the decision thread. */
public final class PeerHeartbeats {

  /** Changes within this time are sent together (ms), which bounds the datagrams under load. */
  private static final long MIN_PERIOD_MILLIS = 40;

  /**
   * Maximum interval between states with the runners' holdings (ms). They are otherwise sent on a
   * change only: they make up most of a state, and traffic between failure domains is expensive.
   */
  private static final long HOLDINGS_PERIOD_MILLIS = 800;

  /**
   * Maximum number of states sent per second on changes. A host's cost must not grow with the
   * fleet, so changes are sent less often in a larger one.
   */
  private static final int STATES_PER_SECOND = 400;

  /**
   * Minimum interval between the changes that a host of a large fleet sends to its delegates (ms).
   */
  private static final long MIN_DELEGATE_PERIOD_MILLIS = 100;

  /**
   * Bounds of a host's heartbeat interval in a large fleet (ms). Within them it follows the
   * members' period: the larger the fleet, the later a silent host is suspected.
   */
  private static final long MIN_HEARTBEAT_MILLIS = 250;

  private static final long MAX_HEARTBEAT_MILLIS = 400;

  /** Requests in the busiest of the last seconds up to which a host counts as standing by. */
  private static final int MAX_STANDBY_REQUESTS = 1;

  /** Other hosts whose addresses each state includes. */
  private static final int GOSSIP_HOSTS = 2;

  private static final int MILLIS_PER_SECOND = 1_000;

  private final HostSettings settings;
  private final long incarnation;
  private final Members<HostState> members;
  private final FleetTopology topology;
  private final FleetSpending spending;
  private final RunnerStates runnerStates;
  private final DigestExchange digests;
  private final BiConsumer<String, byte[]> sender;
  private final StateSource ownState;
  private final BiConsumer<String, HostState> stateListener;
  private final Random random;
  private final EventLog log;
  private List<String> seedIps;
  private long sequence;
  private long lastSentMillis = Long.MIN_VALUE / 2;
  private long lastSentToAllMillis = Long.MIN_VALUE / 2;
  private long lastCompleteMillis = Long.MIN_VALUE / 2;
  private boolean changed;
  private boolean holdingsChanged;

  /** Whether this host placed requests according to the state that it sent last. */
  private boolean placing;

  private long lastHoldingsMillis = Long.MIN_VALUE / 2;

  /** Builds this host's state. */
  @FunctionalInterface
  public interface StateSource {
    /**
     * Returns the state as it is now.
     *
     * @param withHoldings whether to include the holdings of the runners whose holder is this host
     * @param complete whether to include all loads in flight, or only those that changed
     */
    HostState.Builder state(boolean withHoldings, boolean complete);
  }

  /**
   * Creates the heartbeats of a host.
   *
   * @param sender sends bytes to an IP address
   * @param ownState builds this host's state without the gossip
   * @param stateListener receives each host's latest state
   * @param reportListener receives the states that delegates forward, without loads and holdings
   * @param readStatement adds to a digest for the own group as of when this host knows the store's
   *     records
   */
  public PeerHeartbeats(
      HostSettings settings,
      long incarnation,
      Members<HostState> members,
      FleetTopology topology,
      FleetLoad loads,
      Holdings holdings,
      FleetSpending spending,
      RunnerStates runnerStates,
      BiConsumer<String, byte[]> sender,
      StateSource ownState,
      BiConsumer<String, HostState> stateListener,
      BiConsumer<String, HostState> reportListener,
      ObjLongConsumer<Digest.Builder> readStatement,
      Random random,
      EventLog log) {
    this.settings = settings;
    this.seedIps = settings.seeds();
    this.incarnation = incarnation;
    this.members = members;
    this.spending = spending;
    this.runnerStates = runnerStates;
    this.sender = sender;
    this.ownState = ownState;
    this.stateListener = stateListener;
    this.random = random;
    this.log = log;
    this.topology = topology;
    this.digests =
        new DigestExchange(
            settings,
            topology,
            members,
            loads,
            holdings,
            spending,
            runnerStates,
            this::datagram,
            this::ownReport,
            sender,
            reportListener,
            readStatement,
            random);
  }

  /** Returns this host's report of itself, for others to forward. */
  private HostWord ownReport(long nowMillis) {
    return HostWord.newBuilder()
        .setHost(settings.host())
        .setIncarnation(incarnation)
        .setNumber(++sequence)
        .setState(ownState.state(false, true).clearLoads().setPermitIssuer(statedIssuer(nowMillis)))
        .build();
  }

  private String statedIssuer(long nowMillis) {
    return runnerStates.arePermitsNeeded() ? runnerStates.following().state(nowMillis) : "";
  }

  /** Sets the IP addresses of hosts that may know the others. */
  public void updateSeeds(List<String> ips) {
    seedIps = List.copyOf(ips);
  }

  /** Records that this host's state has changed, so that it is sent soon. */
  public void changed() {
    changed = true;
  }

  /** Records that a runner's holdings have changed. */
  public void holdingsChanged() {
    changed = true;
    holdingsChanged = true;
  }

  /** Sends the states and digests that are due. */
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
        Math.max(
            MIN_HEARTBEAT_MILLIS, Math.min(MAX_HEARTBEAT_MILLIS, members.heartbeatPeriodMillis()));
    if (since >= heartbeat || (changed && since >= MIN_DELEGATE_PERIOD_MILLIS)) {
      send(delegatesDue(heartbeat, nowMillis), true, nowMillis);
    }
    digests.tick(nowMillis);
  }

  /**
   * Returns the delegates to which this host's state is sent now: all of them on a change or while
   * this host places requests, and otherwise the first one alone with every other heartbeat.
   */
  private List<Member<HostState>> delegatesDue(long heartbeatMillis, long nowMillis) {
    List<Member<HostState>> delegates = topology.ownGroupDelegates();
    boolean allDue =
        changed
            || placing
            || runnerStates.arePermitsNeeded()
            || nowMillis - lastSentToAllMillis >= 2 * heartbeatMillis;
    if (allDue || topology.isDelegate()) {
      lastSentToAllMillis = nowMillis;
      return delegates;
    }
    return delegates.stream()
        .filter(delegate -> topology.isFirstDelegateOfOwnGroup(delegate.host()))
        .toList();
  }

  private void tickSmall(long nowMillis) {
    int peers = members.reachable(nowMillis).size();
    long period = Math.max(MIN_PERIOD_MILLIS, (long) peers * MILLIS_PER_SECOND / STATES_PER_SECOND);
    long since = nowMillis - lastSentMillis;
    if (since >= members.heartbeatPeriodMillis() || (changed && since >= period)) {
      sendToAll(nowMillis);
    }
  }

  /** Sends this host's state to all hosts now. */
  public void sendToAll(long nowMillis) {
    send(members.reachable(nowMillis), topology.isLarge(), nowMillis);
  }

  private void send(List<Member<HostState>> receivers, boolean allLoads, long nowMillis) {
    lastSentMillis = nowMillis;
    changed = false;
    seedIps.stream()
        .filter(ip -> !ip.equals(settings.ip()))
        .forEach(ip -> members.addCandidate(ip, nowMillis));
    boolean withHoldings =
        holdingsChanged || nowMillis - lastHoldingsMillis >= HOLDINGS_PERIOD_MILLIS;
    if (withHoldings) {
      holdingsChanged = false;
      lastHoldingsMillis = nowMillis;
    }
    boolean complete =
        allLoads || nowMillis - lastCompleteMillis >= members.heartbeatPeriodMillis();
    HostState.Builder state = ownState.state(withHoldings, complete);
    placing = placesRequests(state);
    if (!spending.isUnused()) {
      state.setSpending(StateCodec.encodeSpending(spending.localReport(nowMillis)));
    }
    state.setPermitIssuer(statedIssuer(nowMillis));
    state.addAllLimits(StateCodec.encodeLimits(runnerStates.limits().reports(nowMillis)));
    state.addAllRefusalLimits(
        StateCodec.encodeLimits(runnerStates.statedRefusals().reports(nowMillis)));
    state.addAllLeavingRunners(
        StateCodec.encodeLeaving(runnerStates.availability().leavingReports(nowMillis)));
    if (complete) {
      lastCompleteMillis = nowMillis;
      addGossip(receivers, state);
    }
    byte[] bytes = datagram().setState(state).build().toByteArray();
    receivers.forEach(member -> sender.accept(member.ip(), bytes));
    members.candidatesDue(nowMillis).forEach(ip -> sender.accept(ip, bytes));
  }

  /** Creates a datagram of this host, without a body. */
  public PeerDatagram.Builder datagram() {
    return PeerDatagram.newBuilder()
        .setHost(settings.host())
        .setIncarnation(incarnation)
        .setNumber(++sequence);
  }

  /** Applies another host's state. */
  public void received(String ip, PeerDatagram datagram, long nowMillis) {
    HostState state = datagram.getState();
    boolean known = members.find(datagram.getHost()).isPresent();
    boolean wasAlive = members.isHealthy(datagram.getHost(), nowMillis);
    boolean isNewer =
        members.receive(
            datagram.getHost(),
            ip,
            datagram.getIncarnation(),
            datagram.getNumber(),
            state.getLeaving(),
            state,
            nowMillis);
    if (!isNewer) {
      return;
    }
    for (HostAddress gossiped : state.getGossipList()) {
      if (!gossiped.getIp().equals(settings.ip())) {
        members.addCandidate(gossiped.getIp(), nowMillis);
      }
    }
    if (!wasAlive && !state.getLeaving()) {
      log.info("host-alive", "peer", datagram.getHost(), "known", known);
      holdingsChanged();
    }
    stateListener.accept(datagram.getHost(), state);
    runnerStates.mergeReports(
        StateCodec.decodeLimits(state.getLimitsList()),
        StateCodec.decodeLimits(state.getRefusalLimitsList()),
        StateCodec.decodeLeaving(state.getLeavingRunnersList()),
        nowMillis);
    digests.applySpending(datagram.getHost(), datagram.getIncarnation(), state, nowMillis);
    boolean toDelegate = topology.isDelegate() && topology.isInOwnGroup(datagram.getHost());
    if (toDelegate) {
      digests.recordPlacing(datagram.getHost(), ip, placesRequests(state), nowMillis);
    }
    if (topology.isLarge() && !toDelegate && !state.getLeaving()) {
      // In a large fleet a host addresses only its delegates and hosts that it does not know yet.
      digests.sendMembership(ip, nowMillis);
    }
  }

  /** Returns whether a host has requests, or more than single ones in the last seconds. */
  private static boolean placesRequests(HostStateOrBuilder state) {
    return state.getLoadsCount() > 0 || state.getRequestsPerSecond() > MAX_STANDBY_REQUESTS;
  }

  /** Applies a digest received from an IP address. */
  public void receivedDigest(String ip, PeerDatagram datagram, long nowMillis) {
    String reporter = DigestExchange.reporterId(datagram.getHost(), datagram.getIncarnation());
    digests.received(ip, reporter, datagram.getDigest(), nowMillis);
  }

  private void addGossip(List<Member<HostState>> receivers, HostState.Builder state) {
    List<Member<HostState>> shuffled = new ArrayList<>(receivers);
    Collections.shuffle(shuffled, random);
    for (Member<HostState> member : shuffled.subList(0, Math.min(GOSSIP_HOSTS, shuffled.size()))) {
      state.addGossip(HostAddress.newBuilder().setHost(member.host()).setIp(member.ip()));
    }
  }
}
