package org.sequoiahub.node.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.allowance.SpendingReport;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HeldBy;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.HostWord;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.usersplatform.HostSettings;

/**
 * Exchanges digests in a large fleet, where delegates represent their groups: they send the state
 * of their own group to the delegates of the other groups, and the state of the whole fleet to the
 * hosts of their own group. Runs on the decision thread.
 */
public final class DigestExchange {

  /**
   * Interval between the digests of a group's first delegate (ms). A change propagates by a host's
   * state and two digests, in 0.2 s on average; a host receives nine digests a second from both
   * delegates.
   */
  private static final long FIRST_DELEGATE_PERIOD_MILLIS = 150;

  /**
   * Interval between the digests of a group's other delegates (ms). The first delegate sends the
   * same changes, and most of a host's cost lies in what it receives.
   */
  private static final long OTHER_DELEGATE_PERIOD_MILLIS = 450;

  /**
   * Interval between the digests of a group's first delegate to its standby hosts (ms). These tell
   * them what every host must know in time: who is alive, and which records are new.
   */
  private static final long FIRST_DELEGATE_STANDBY_PERIOD_MILLIS = 200;

  /** Interval between the digests of a group's other delegates to its standby hosts (ms). */
  private static final long OTHER_DELEGATE_STANDBY_PERIOD_MILLIS = 600;

  /**
   * Lower bound of the interval between digests to other groups, for each delegate addressed (ms):
   * with many groups they are sent less often.
   */
  private static final long INTER_GROUP_MILLIS_PER_DELEGATE = 10;

  /**
   * Unchanged host reports in each digest to another group, for receivers that missed them: covers
   * a group of 16 hosts in 1.2 s. With {@link #INTRA_GROUP_REPORTS}, a fleet of 66 takes 2.5 s.
   */
  private static final int INTER_GROUP_REPORTS = 2;

  /** Unchanged host reports in each digest to the own group. */
  private static final int INTRA_GROUP_REPORTS = 4;

  /** Unchanged host reports in each digest to the standby hosts of the own group. */
  private static final int STANDBY_REPORTS = 4;

  /**
   * Reports of hosts of any group in each digest to another group's delegates: two delegates may
   * not know each other yet.
   */
  private static final int GOSSIP_REPORTS = 2;

  /**
   * Unchanged holdings in each digest to another group: covers a group of 11 runners in 0.6 s. With
   * {@link #INTRA_GROUP_HOLDINGS}, a fleet of 42 takes 1.6 s.
   */
  private static final int INTER_GROUP_HOLDINGS = 3;

  /** Unchanged holdings in each digest to the own group. */
  private static final int INTRA_GROUP_HOLDINGS = 4;

  /**
   * Maximum number of liveness marks in a digest: covers a fleet of 77 hosts in 0.4 s and one of
   * 300 in 1.4 s, in which hosts are suspected after 1.5 s and 6 s.
   */
  private static final int MAX_MARKS = 48;

  /** Maximum number of reports, of 100 bytes each, sent to a host that lacks its delegates. */
  private static final int MAX_MEMBERSHIP_REPORTS = 500;

  /** Minimum interval between such answers to one host while its view of the fleet differs (ms). */
  private static final long MEMBERSHIP_PERIOD_MILLIS = 800;

  private static final String GROUP_SOURCE_PREFIX = "group ";

  private final HostSettings settings;
  private final FleetTopology topology;
  private final Members<HostState> members;
  private final FleetLoad loads;
  private final Holdings holdings;
  private final FleetSpending spending;
  private final RunnerStates runnerStates;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final LongFunction<HostWord> ownReport;
  private final BiConsumer<String, byte[]> sender;
  private final BiConsumer<String, HostState> reportListener;
  private final ObjLongConsumer<Digest.Builder> readStatement;
  private final Random random;
  private final AliveMarks marks;
  private final DigestBuilder interGroup =
      new DigestBuilder(INTER_GROUP_REPORTS, INTER_GROUP_HOLDINGS);
  private final DigestBuilder gossip = new DigestBuilder(GOSSIP_REPORTS, 0);
  private final DigestBuilder intraGroup =
      new DigestBuilder(INTRA_GROUP_REPORTS, INTRA_GROUP_HOLDINGS);
  private final DigestBuilder standby = new DigestBuilder(STANDBY_REPORTS, 0);
  private final AliveMarks.Rotation interGroupMarks = new AliveMarks.Rotation(MAX_MARKS);
  private final AliveMarks.Rotation intraGroupMarks = new AliveMarks.Rotation(MAX_MARKS);
  private final AliveMarks.Rotation standbyMarks = new AliveMarks.Rotation(MAX_MARKS);
  private final Map<String, Long> membershipSentMillis = new HashMap<>();

  /** The hosts of this group that place requests, as this host last heard. */
  private final Set<String> placingHosts = new HashSet<>();

  private long interGroupDueMillis = Long.MIN_VALUE;
  private long intraGroupDueMillis = Long.MIN_VALUE;
  private long standbyDueMillis = Long.MIN_VALUE;

  /**
   * Creates an exchange.
   *
   * @param datagrams creates datagrams of this host, without a body
   * @param ownReport creates this host's report of itself at a time (ms)
   * @param sender sends bytes to an IP address
   * @param reportListener receives each host's latest report
   * @param readStatement adds to a digest for the own group as of when this host knows the store's
   *     records
   */
  public DigestExchange(
      HostSettings settings,
      FleetTopology topology,
      Members<HostState> members,
      FleetLoad loads,
      Holdings holdings,
      FleetSpending spending,
      RunnerStates runnerStates,
      Supplier<PeerDatagram.Builder> datagrams,
      LongFunction<HostWord> ownReport,
      BiConsumer<String, byte[]> sender,
      BiConsumer<String, HostState> reportListener,
      ObjLongConsumer<Digest.Builder> readStatement,
      Random random) {
    this.settings = settings;
    this.topology = topology;
    this.members = members;
    this.loads = loads;
    this.holdings = holdings;
    this.spending = spending;
    this.runnerStates = runnerStates;
    this.datagrams = datagrams;
    this.ownReport = ownReport;
    this.sender = sender;
    this.reportListener = reportListener;
    this.readStatement = readStatement;
    this.random = random;
    this.marks = new AliveMarks(members);
  }

  /** Sends digests if this host is a delegate and they are due. */
  public void tick(long nowMillis) {
    if (!topology.isLarge() || !topology.isDelegate()) {
      return;
    }
    long period =
        topology.isFirstDelegate() ? FIRST_DELEGATE_PERIOD_MILLIS : OTHER_DELEGATE_PERIOD_MILLIS;
    if (nowMillis >= interGroupDueMillis) {
      List<Member<HostState>> delegates = topology.otherGroupDelegates();
      delegates.addAll(topology.sampleSilentGroups(random, nowMillis));
      interGroupDueMillis =
          nowMillis + Math.max(period, delegates.size() * INTER_GROUP_MILLIS_PER_DELEGATE);
      sendInterGroup(delegates, nowMillis);
    }
    if (nowMillis >= intraGroupDueMillis) {
      intraGroupDueMillis = nowMillis + period;
      sendIntraGroup(nowMillis);
    }
    if (nowMillis >= standbyDueMillis) {
      standbyDueMillis = nowMillis + standbyPeriodMillis(period);
      sendStandby(nowMillis);
    }
  }

  /** Returns the hosts of this group, other than delegates, that place requests or do not. */
  private List<Member<HostState>> groupHosts(boolean placing, long nowMillis) {
    return topology.ownGroupNonDelegates(nowMillis).stream()
        .filter(member -> placingHosts.contains(member.host()) == placing)
        .toList();
  }

  /**
   * Returns the interval between digests to standby hosts (ms). While runners limit their calls it
   * is that of the other hosts: a host's share of the permits depends on what it knows of the
   * limits and the issuer.
   */
  private long standbyPeriodMillis(long periodMillis) {
    if (runnerStates.arePermitsNeeded()) {
      return periodMillis;
    }
    return topology.isFirstDelegate()
        ? FIRST_DELEGATE_STANDBY_PERIOD_MILLIS
        : OTHER_DELEGATE_STANDBY_PERIOD_MILLIS;
  }

  private void sendInterGroup(List<Member<HostState>> delegates, long nowMillis) {
    Digest.Builder digest = Digest.newBuilder().setGroup(topology.group());
    List<Member<HostState>> group =
        members.reachable(nowMillis).stream().filter(m -> topology.isInOwnGroup(m.host())).toList();
    digest.addWords(ownReport.apply(nowMillis));
    interGroup.addReports(digest, group, nowMillis);
    marks.add(digest, group, interGroupMarks, nowMillis);
    gossip.addRepeatedReports(digest, members.reachable(nowMillis), nowMillis);
    interGroup.addHoldings(digest, holdings, topology::isInOwnGroup, nowMillis);
    Map<String, FleetLoad.Use> sums = loads.sums(topology::isInOwnGroup, nowMillis);
    if (!spending.isUnused()) {
      digest.setSpending(
          StateCodec.encodeSpending(
              spending.aggregateReport(topology::isInOwnGroup, topology.groupSize(), nowMillis)));
    }
    addStatements(digest, nowMillis);
    Digest common = digest.build();
    for (Member<HostState> delegate : delegates) {
      Digest.Builder builder = common.toBuilder();
      DigestBuilder.addLoads(builder, sums, runner -> holds(delegate.host(), runner));
      send(delegate.ip(), builder);
    }
  }

  private void sendIntraGroup(long nowMillis) {
    List<Member<HostState>> receivers = groupHosts(true, nowMillis);
    if (receivers.isEmpty()) {
      return;
    }
    Digest.Builder digest = Digest.newBuilder();
    digest.addWords(ownReport.apply(nowMillis));
    List<Member<HostState>> all = members.reachable(nowMillis);
    intraGroup.addReports(digest, all, nowMillis);
    marks.add(digest, all, intraGroupMarks, nowMillis);
    addPlacementState(digest, intraGroup, nowMillis);
    addStatements(digest, nowMillis);
    readStatement.accept(digest, nowMillis);
    send(receivers, digest);
  }

  /**
   * Sends what hosts need that place no requests. They are most hosts of a large fleet, so that the
   * cost of the fleet would otherwise grow with the product of hosts and runners.
   */
  private void sendStandby(long nowMillis) {
    List<Member<HostState>> receivers = groupHosts(false, nowMillis);
    if (receivers.isEmpty()) {
      return;
    }
    Digest.Builder digest = Digest.newBuilder();
    digest.addWords(ownReport.apply(nowMillis));
    List<Member<HostState>> all = members.reachable(nowMillis);
    standby.addReports(digest, all, nowMillis);
    marks.add(digest, all, standbyMarks, nowMillis);
    addSpending(digest, nowMillis);
    addStatements(digest, nowMillis);
    readStatement.accept(digest, nowMillis);
    send(receivers, digest);
  }

  /**
   * Records whether a host of this group places requests. To one that begins to, this host sends
   * all that is known for it at once.
   */
  void recordPlacing(String host, String ip, boolean placing, long nowMillis) {
    if (!placing) {
      placingHosts.remove(host);
    } else if (placingHosts.add(host)) {
      Digest.Builder digest = Digest.newBuilder();
      addPlacementState(digest, new DigestBuilder(0, 0), nowMillis);
      readStatement.accept(digest, nowMillis);
      send(ip, digest);
    }
  }

  /** Adds what the fleet has in flight at the runners, and what these hold. */
  private void addPlacementState(Digest.Builder digest, DigestBuilder builder, long nowMillis) {
    builder.addHoldings(digest, holdings, holder -> true, nowMillis);
    DigestBuilder.addLoads(digest, loads.sums(source -> true, nowMillis), runner -> false);
    addSpending(digest, nowMillis);
  }

  private void addSpending(Digest.Builder digest, long nowMillis) {
    if (!spending.isUnused()) {
      digest.setSpending(StateCodec.encodeSpending(spending.fleetReport(nowMillis)));
    }
  }

  private void addStatements(Digest.Builder digest, long nowMillis) {
    digest.addAllLeavingRunners(
        StateCodec.encodeLeaving(runnerStates.availability().leavingReports(nowMillis)));
    digest.addAllLimits(StateCodec.encodeLimits(runnerStates.limits().reports(nowMillis)));
    digest.addAllRefusalLimits(
        StateCodec.encodeLimits(runnerStates.statedRefusals().reports(nowMillis)));
  }

  private boolean holds(String host, String runner) {
    return holdings.find(runner).filter(holding -> holding.host().equals(host)).isPresent();
  }

  private void send(List<Member<HostState>> receivers, Digest.Builder digest) {
    byte[] bytes = datagrams.get().setDigest(digest).build().toByteArray();
    receivers.forEach(member -> sender.accept(member.ip(), bytes));
  }

  private void send(String ip, Digest.Builder digest) {
    sender.accept(ip, datagrams.get().setDigest(digest).build().toByteArray());
  }

  /** Sends the known members to a host that does not know its delegates. */
  public void sendMembership(String ip, long nowMillis) {
    membershipSentMillis.values().removeIf(at -> nowMillis - at >= MEMBERSHIP_PERIOD_MILLIS);
    if (membershipSentMillis.putIfAbsent(ip, nowMillis) != null) {
      return;
    }
    Digest.Builder digest = Digest.newBuilder().addWords(ownReport.apply(nowMillis));
    members.reachable(nowMillis).stream()
        .limit(MAX_MEMBERSHIP_REPORTS)
        .forEach(member -> DigestBuilder.addReport(digest, member, nowMillis));
    addStatements(digest, nowMillis);
    readStatement.accept(digest, nowMillis);
    send(ip, digest);
  }

  /**
   * Applies a digest received from an IP address.
   *
   * @param reporter id of the sending process, as {@link #reporterId} returns it
   */
  public void received(String ip, String reporter, Digest digest, long nowMillis) {
    if (!digest.getGroup().isEmpty() && !topology.isDelegate()) {
      sendMembership(ip, nowMillis);
    }
    for (HostWord report : digest.getWordsList()) {
      HostState state = report.getState();
      boolean changed =
          members.receiveForwarded(
              report.getHost(),
              state.getIp(),
              report.getIncarnation(),
              report.getNumber(),
              state.getLeaving(),
              state,
              AliveMarks.lastSeenMillis(report.getAgeMs(), nowMillis),
              nowMillis);
      if (changed) {
        reportListener.accept(report.getHost(), state);
      }
    }
    boolean fromGroup = !digest.getGroup().isEmpty();
    if (fromGroup == topology.isDelegate()) {
      marks.apply(digest, nowMillis);
    }
    for (HeldBy held : digest.getHoldingsList()) {
      if (!held.getHost().equals(settings.host())) {
        holdings.update(
            held.getHolding().getRunner(),
            StateCodec.decodeHolding(held.getHost(), held.getHolding(), nowMillis));
      }
    }
    runnerStates.mergeReports(
        StateCodec.decodeLimits(digest.getLimitsList()),
        StateCodec.decodeLimits(digest.getRefusalLimitsList()),
        StateCodec.decodeLeaving(digest.getLeavingRunnersList()),
        nowMillis);
    if (digest.getLoadsTold()) {
      applyLoads(digest, nowMillis);
    }
    if (digest.hasSpending()) {
      applySpending(reporter, digest, nowMillis);
    }
  }

  private void applyLoads(Digest digest, long nowMillis) {
    Map<String, FleetLoad.Use> uses = StateCodec.decodeLoads(digest.getLoadsList());
    if (!digest.getGroup().isEmpty()) {
      loads.removeTotals();
      loads.update(GROUP_SOURCE_PREFIX + digest.getGroup(), uses, true, nowMillis);
    } else if (!topology.isDelegate()) {
      loads.replaceWithTotals(uses, nowMillis);
    }
  }

  private void applySpending(String reporter, Digest digest, long nowMillis) {
    boolean whole = digest.getGroup().isEmpty();
    String source = whole ? FleetSpending.FLEET_TOTAL : GROUP_SOURCE_PREFIX + digest.getGroup();
    if (whole ? !topology.isDelegate() : isRelevantSource(source)) {
      SpendingReport reported = StateCodec.decodeSpending(digest.getSpending());
      spending.applyReport(source, reporter, reported, nowMillis);
    }
  }

  /**
   * Applies a host's own spending. In a large fleet only the delegates of its group do so, as they
   * report the group's sum to the others.
   */
  void applySpending(String host, long incarnation, HostState state, long nowMillis) {
    if (state.hasSpending() && isRelevantSource(host)) {
      SpendingReport reported = StateCodec.decodeSpending(state.getSpending());
      spending.applyReport(host, reporterId(host, incarnation), reported, nowMillis);
    }
  }

  /** Drops outdated sources of spending and rebuilds the liveness marks. */
  void refresh(long nowMillis) {
    placingHosts.removeIf(host -> !topology.isInOwnGroup(host));
    spending.removeObsoleteSources(this::isRelevantSource, nowMillis);
    marks.refresh(nowMillis);
  }

  /**
   * Returns whether a source reports spending of hosts that no other source covers. The delegates'
   * sum of the whole fleet always counts, as it stands for what was spent before.
   */
  private boolean isRelevantSource(String source) {
    if (source.equals(FleetSpending.FLEET_TOTAL)) {
      return true;
    }
    if (!topology.isLarge()) {
      return !source.startsWith(GROUP_SOURCE_PREFIX);
    }
    return topology.isDelegate()
        && !source.equals(GROUP_SOURCE_PREFIX + topology.group())
        && (source.startsWith(GROUP_SOURCE_PREFIX) || topology.isInOwnGroup(source));
  }

  /** Returns an id that distinguishes the processes of a host. */
  static String reporterId(String host, long incarnation) {
    return host + " " + incarnation;
  }
}
