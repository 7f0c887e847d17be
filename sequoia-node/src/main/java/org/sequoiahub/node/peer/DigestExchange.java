package org.sequoiahub.node.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.allowance.ToldSpending;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HeldBy;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.HostWord;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.usersplatform.HostSettings;

/**
 * What delegates of a large fleet pass on: to the delegates of the other groups what their own
 * group does, and to the hosts of their group what the whole fleet does. Runs on the decision
 * thread.
 */
public final class DigestExchange {

  /**
   * Digests are sent this often (ms) by the first delegate of a group. News takes a host's word and
   * two digests, 0.2 s on average; a host receives nine a second from both delegates.
   */
  private static final long FIRST_DELEGATE_PERIOD_MILLIS = 150;

  /**
   * A delegate that is not the first of its group sends its digests this often (ms): the same news
   * comes from the first one, and a host's cost is for the most part in what it receives.
   */
  private static final long OTHER_DELEGATE_PERIOD_MILLIS = 450;

  /** Far digests are sent less often if there are many groups (ms for each delegate to tell). */
  private static final long INTER_GROUP_MILLIS_PER_DELEGATE = 10;

  /**
   * Words of hosts of which nothing is new, for those who missed them: of a group of 16 hosts in
   * 1.2 s, of a fleet of 66 in 2.5 s.
   */
  private static final int INTER_GROUP_REPORTS = 2;

  private static final int INTRA_GROUP_REPORTS = 4;

  /** Words of any group's hosts to the other groups' delegates: these may never have met. */
  private static final int GOSSIP_REPORTS = 2;

  /** The holdings of a group of 11 runners in 0.6 s, of a fleet of 42 in 1.6 s. */
  private static final int INTER_GROUP_HOLDINGS = 3;

  private static final int INTRA_GROUP_HOLDINGS = 4;

  /** Words in the answer to a host that does not know its delegates; 100 bytes each. */
  private static final int MAX_MEMBERSHIP_REPORTS = 500;

  /** One host is answered so at most this often (ms), while its view of the fleet differs. */
  private static final long MEMBERSHIP_PERIOD_MILLIS = 800;

  private static final String GROUP_SOURCE_PREFIX = "group ";

  private final HostSettings settings;
  private final FleetTopology topology;
  private final Members<HostState> members;
  private final FleetLoad loads;
  private final Holdings holdings;
  private final FleetSpending spending;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final Supplier<HostWord> ownReport;
  private final BiConsumer<String, byte[]> sender;
  private final BiConsumer<String, HostState> reportListener;
  private final Random random;
  private final AliveMarks marks;
  private final DigestBuilder interGroup = new DigestBuilder(INTER_GROUP_REPORTS, INTER_GROUP_HOLDINGS);
  private final DigestBuilder gossip = new DigestBuilder(GOSSIP_REPORTS, 0);
  private final DigestBuilder intraGroup = new DigestBuilder(INTRA_GROUP_REPORTS, INTRA_GROUP_HOLDINGS);
  private final Map<String, Long> membershipSentMillis = new HashMap<>();
  private long interGroupDueMillis = Long.MIN_VALUE;
  private long intraGroupDueMillis = Long.MIN_VALUE;

  /**
   * Creates an exchange.
   *
   * @param datagrams begins a datagram of this host
   * @param ownWord what this host says of itself
   * @param sender sends bytes to an IP number
   * @param wordListener receives each host's newest word
   */
  public DigestExchange(
      HostSettings settings,
      FleetTopology shape,
      Members<HostState> members,
      FleetLoad loads,
      Holdings holdings,
      FleetSpending spending,
      Supplier<PeerDatagram.Builder> datagrams,
      Supplier<HostWord> ownWord,
      BiConsumer<String, byte[]> sender,
      BiConsumer<String, HostState> wordListener,
      Random random) {
    this.settings = settings;
    this.topology = shape;
    this.members = members;
    this.loads = loads;
    this.holdings = holdings;
    this.spending = spending;
    this.datagrams = datagrams;
    this.ownReport = ownWord;
    this.sender = sender;
    this.reportListener = wordListener;
    this.random = random;
    this.marks = new AliveMarks(members);
  }

  /** Sends digests if this host is a delegate and they are due. */
  public void tick(long nowMillis) {
    if (!topology.isLarge() || !topology.isDelegate()) {
      return;
    }
    long period = topology.isFirstDelegate() ? FIRST_DELEGATE_PERIOD_MILLIS : OTHER_DELEGATE_PERIOD_MILLIS;
    if (nowMillis >= interGroupDueMillis) {
      List<Member<HostState>> delegates = topology.otherGroupDelegates();
      delegates.addAll(topology.sampleSilentGroups(random, nowMillis));
      interGroupDueMillis = nowMillis + Math.max(period, delegates.size() * INTER_GROUP_MILLIS_PER_DELEGATE);
      sendInterGroup(delegates, nowMillis);
    }
    if (nowMillis >= intraGroupDueMillis) {
      intraGroupDueMillis = nowMillis + period;
      sendIntraGroup(nowMillis);
    }
  }

  private void sendInterGroup(List<Member<HostState>> delegates, long nowMillis) {
    Digest.Builder digest = Digest.newBuilder().setGroup(topology.group());
    List<Member<HostState>> group =
        members.reachable(nowMillis).stream().filter(m -> topology.isInOwnGroup(m.host())).toList();
    digest.addWords(ownReport.get());
    interGroup.addReports(digest, group, nowMillis);
    marks.add(digest, group, nowMillis);
    gossip.addRepeatedReports(digest, members.reachable(nowMillis), nowMillis);
    interGroup.addHoldings(digest, holdings, topology::isInOwnGroup, nowMillis);
    Map<String, FleetLoad.Use> sums = loads.sums(topology::isInOwnGroup, nowMillis);
    if (!spending.isUnused()) {
      digest.setSpending(
          StateCodec.encodeSpending(spending.sums(topology::isInOwnGroup, topology.groupSize(), nowMillis)));
    }
    Digest common = digest.build();
    for (Member<HostState> delegate : delegates) {
      Digest.Builder own = common.toBuilder();
      DigestBuilder.addLoads(own, sums, runner -> holds(delegate.host(), runner));
      send(delegate.ip(), own);
    }
  }

  private void sendIntraGroup(long nowMillis) {
    Digest.Builder digest = Digest.newBuilder();
    digest.addWords(ownReport.get());
    List<Member<HostState>> all = members.reachable(nowMillis);
    intraGroup.addReports(digest, all, nowMillis);
    marks.add(digest, all, nowMillis);
    intraGroup.addHoldings(digest, holdings, holder -> true, nowMillis);
    DigestBuilder.addLoads(digest, loads.sums(source -> true, nowMillis), runner -> false);
    if (!spending.isUnused()) {
      digest.setSpending(StateCodec.encodeSpending(spending.whole(nowMillis)));
    }
    byte[] bytes = datagrams.get().setDigest(digest).build().toByteArray();
    topology.ownGroupNonDelegates(nowMillis).forEach(member -> sender.accept(member.ip(), bytes));
  }

  private boolean holds(String host, String runner) {
    return holdings.find(runner).filter(holding -> holding.host().equals(host)).isPresent();
  }

  private void send(String ip, Digest.Builder digest) {
    sender.accept(ip, datagrams.get().setDigest(digest).build().toByteArray());
  }

  /** Tells a host that does not know its delegates who else there is. */
  public void sendMembership(String ip, long nowMillis) {
    membershipSentMillis.values().removeIf(at -> nowMillis - at >= MEMBERSHIP_PERIOD_MILLIS);
    if (membershipSentMillis.putIfAbsent(ip, nowMillis) != null) {
      return;
    }
    Digest.Builder digest = Digest.newBuilder().addWords(ownReport.get());
    members.reachable(nowMillis).stream()
        .limit(MAX_MEMBERSHIP_REPORTS)
        .forEach(member -> DigestBuilder.addReport(digest, member, nowMillis));
    send(ip, digest);
  }

  /**
   * Takes in a digest that came from an IP number.
   *
   * @param teller the host that tells, and which of its processes
   */
  public void received(String ip, String teller, Digest digest, long nowMillis) {
    if (!digest.getGroup().isEmpty() && !topology.isDelegate()) {
      sendMembership(ip, nowMillis);
    }
    for (HostWord word : digest.getWordsList()) {
      HostState state = word.getState();
      boolean news =
          members.heardOf(
              word.getHost(),
              state.getIp(),
              word.getIncarnation(),
              word.getNumber(),
              state.getLeaving(),
              state,
              AliveMarks.lastSeenMillis(word.getAgeMs(), nowMillis),
              nowMillis);
      if (news) {
        reportListener.accept(word.getHost(), state);
      }
    }
    boolean ofOneGroup = !digest.getGroup().isEmpty();
    if (ofOneGroup == topology.isDelegate()) {
      marks.apply(digest, nowMillis);
    }
    for (HeldBy held : digest.getHoldingsList()) {
      if (!held.getHost().equals(settings.host())) {
        holdings.told(
            held.getHolding().getRunner(),
            StateCodec.decodeHolding(held.getHost(), held.getHolding(), nowMillis));
      }
    }
    if (digest.getLoadsTold()) {
      applyLoads(digest, nowMillis);
    }
    if (digest.hasSpending()) {
      applySpending(teller, digest, nowMillis);
    }
  }

  private void applyLoads(Digest digest, long nowMillis) {
    Map<String, FleetLoad.Use> uses = StateCodec.decodeLoads(digest.getLoadsList());
    if (!digest.getGroup().isEmpty()) {
      loads.forgetWhole();
      loads.told(GROUP_SOURCE_PREFIX + digest.getGroup(), uses, true, nowMillis);
    } else if (!topology.isDelegate()) {
      loads.toldWhole(uses, nowMillis);
    }
  }

  private void applySpending(String teller, Digest digest, long nowMillis) {
    boolean whole = digest.getGroup().isEmpty();
    String source = whole ? FleetSpending.WHOLE : GROUP_SOURCE_PREFIX + digest.getGroup();
    if (whole ? !topology.isDelegate() : isRelevantSource(source)) {
      ToldSpending told = StateCodec.decodeSpending(digest.getSpending());
      spending.told(source, teller, told, nowMillis);
    }
  }

  /**
   * Takes in what a host says that it spent itself; in a large fleet it counts so at the delegates
   * of its group only, as these tell the others.
   */
  void applySpending(String host, long incarnation, HostState state, long nowMillis) {
    if (state.hasSpending() && isRelevantSource(host)) {
      ToldSpending told = StateCodec.decodeSpending(state.getSpending());
      spending.told(host, reporterId(host, incarnation), told, nowMillis);
    }
  }

  /** Forgets what other sources tell of by now. */
  void refresh(long nowMillis) {
    spending.upkeep(this::isRelevantSource, nowMillis);
    marks.refresh(nowMillis);
  }

  /** What delegates tell of the whole fleet stays for a while, as what was spent before. */
  private boolean isRelevantSource(String source) {
    if (source.equals(FleetSpending.WHOLE)) {
      return true;
    }
    if (!topology.isLarge()) {
      return !source.startsWith(GROUP_SOURCE_PREFIX);
    }
    return topology.isDelegate()
        && !source.equals(GROUP_SOURCE_PREFIX + topology.group())
        && (source.startsWith(GROUP_SOURCE_PREFIX) || topology.isInOwnGroup(source));
  }

  static String reporterId(String host, long incarnation) {
    return host + " " + incarnation;
  }
}
