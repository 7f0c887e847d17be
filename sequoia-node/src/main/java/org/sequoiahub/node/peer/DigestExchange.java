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
  private static final long PERIOD_MILLIS = 150;

  /**
   * A delegate that is not the first of its group sends its digests this often (ms): the same news
   * comes from the first one, and a host's cost is for the most part in what it receives.
   */
  private static final long SECOND_PERIOD_MILLIS = 450;

  /** Far digests are sent less often if there are many groups (ms for each delegate to tell). */
  private static final long FAR_MILLIS = 10;

  /**
   * Words of hosts of which nothing is new, for those who missed them: of a group of 16 hosts in
   * 1.2 s, of a fleet of 66 in 2.5 s.
   */
  private static final int FAR_WORDS = 2;

  private static final int NEAR_WORDS = 4;

  /** Words of any group's hosts to the other groups' delegates: these may never have met. */
  private static final int GOSSIP_WORDS = 2;

  /** The holdings of a group of 11 runners in 0.6 s, of a fleet of 42 in 1.6 s. */
  private static final int FAR_HOLDINGS = 3;

  private static final int NEAR_HOLDINGS = 4;

  /** Words in the answer to a host that does not know its delegates; 100 bytes each. */
  private static final int WELCOME_WORDS = 500;

  /** One host is answered so at most this often (ms), while its view of the fleet differs. */
  private static final long WELCOME_MILLIS = 800;

  private static final String GROUP_SOURCE = "group ";

  private final HostSettings settings;
  private final FleetTopology shape;
  private final Members<HostState> members;
  private final FleetLoad loads;
  private final Holdings holdings;
  private final FleetSpending spending;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final Supplier<HostWord> ownWord;
  private final BiConsumer<String, byte[]> sender;
  private final BiConsumer<String, HostState> wordListener;
  private final Random random;
  private final AliveMarks marks;
  private final DigestBuilder far = new DigestBuilder(FAR_WORDS, FAR_HOLDINGS);
  private final DigestBuilder gossip = new DigestBuilder(GOSSIP_WORDS, 0);
  private final DigestBuilder near = new DigestBuilder(NEAR_WORDS, NEAR_HOLDINGS);
  private final Map<String, Long> welcomedMillis = new HashMap<>();
  private long farDueMillis = Long.MIN_VALUE;
  private long nearDueMillis = Long.MIN_VALUE;

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
    this.shape = shape;
    this.members = members;
    this.loads = loads;
    this.holdings = holdings;
    this.spending = spending;
    this.datagrams = datagrams;
    this.ownWord = ownWord;
    this.sender = sender;
    this.wordListener = wordListener;
    this.random = random;
    this.marks = new AliveMarks(members);
  }

  /** Sends digests if this host is a delegate and they are due. */
  public void tick(long nowMillis) {
    if (!shape.isLarge() || !shape.isDelegate()) {
      return;
    }
    long period = shape.isFirstDelegate() ? PERIOD_MILLIS : SECOND_PERIOD_MILLIS;
    if (nowMillis >= farDueMillis) {
      List<Member<HostState>> delegates = shape.otherGroupDelegates();
      delegates.addAll(shape.sampleSilentGroups(random, nowMillis));
      farDueMillis = nowMillis + Math.max(period, delegates.size() * FAR_MILLIS);
      tellFar(delegates, nowMillis);
    }
    if (nowMillis >= nearDueMillis) {
      nearDueMillis = nowMillis + period;
      tellNear(nowMillis);
    }
  }

  private void tellFar(List<Member<HostState>> delegates, long nowMillis) {
    Digest.Builder digest = Digest.newBuilder().setGroup(shape.group());
    List<Member<HostState>> group =
        members.reachable(nowMillis).stream().filter(m -> shape.isInOwnGroup(m.host())).toList();
    digest.addWords(ownWord.get());
    far.addWords(digest, group, nowMillis);
    marks.add(digest, group, nowMillis);
    gossip.addWordsInTurn(digest, members.reachable(nowMillis), nowMillis);
    far.addHoldings(digest, holdings, shape::isInOwnGroup, nowMillis);
    Map<String, FleetLoad.Use> sums = loads.sums(shape::isInOwnGroup, nowMillis);
    if (!spending.isUnused()) {
      digest.setSpending(
          StateCodec.encodeSpending(spending.sums(shape::isInOwnGroup, shape.groupSize(), nowMillis)));
    }
    Digest common = digest.build();
    for (Member<HostState> delegate : delegates) {
      Digest.Builder own = common.toBuilder();
      DigestBuilder.addLoads(own, sums, runner -> holds(delegate.host(), runner));
      send(delegate.ip(), own);
    }
  }

  private void tellNear(long nowMillis) {
    Digest.Builder digest = Digest.newBuilder();
    digest.addWords(ownWord.get());
    List<Member<HostState>> all = members.reachable(nowMillis);
    near.addWords(digest, all, nowMillis);
    marks.add(digest, all, nowMillis);
    near.addHoldings(digest, holdings, holder -> true, nowMillis);
    DigestBuilder.addLoads(digest, loads.sums(source -> true, nowMillis), runner -> false);
    if (!spending.isUnused()) {
      digest.setSpending(StateCodec.encodeSpending(spending.whole(nowMillis)));
    }
    byte[] bytes = datagrams.get().setDigest(digest).build().toByteArray();
    shape.ownGroupNonDelegates(nowMillis).forEach(member -> sender.accept(member.ip(), bytes));
  }

  private boolean holds(String host, String runner) {
    return holdings.find(runner).filter(holding -> holding.host().equals(host)).isPresent();
  }

  private void send(String ip, Digest.Builder digest) {
    sender.accept(ip, datagrams.get().setDigest(digest).build().toByteArray());
  }

  /** Tells a host that does not know its delegates who else there is. */
  public void welcome(String ip, long nowMillis) {
    welcomedMillis.values().removeIf(at -> nowMillis - at >= WELCOME_MILLIS);
    if (welcomedMillis.putIfAbsent(ip, nowMillis) != null) {
      return;
    }
    Digest.Builder digest = Digest.newBuilder().addWords(ownWord.get());
    members.reachable(nowMillis).stream()
        .limit(WELCOME_WORDS)
        .forEach(member -> DigestBuilder.addWord(digest, member, nowMillis));
    send(ip, digest);
  }

  /**
   * Takes in a digest that came from an IP number.
   *
   * @param teller the host that tells, and which of its processes
   */
  public void received(String ip, String teller, Digest digest, long nowMillis) {
    if (!digest.getGroup().isEmpty() && !shape.isDelegate()) {
      welcome(ip, nowMillis);
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
              AliveMarks.heardMillis(word.getAgeMs(), nowMillis),
              nowMillis);
      if (news) {
        wordListener.accept(word.getHost(), state);
      }
    }
    boolean ofOneGroup = !digest.getGroup().isEmpty();
    if (ofOneGroup == shape.isDelegate()) {
      marks.received(digest, nowMillis);
    }
    for (HeldBy held : digest.getHoldingsList()) {
      if (!held.getHost().equals(settings.host())) {
        holdings.told(
            held.getHolding().getRunner(),
            StateCodec.decodeHolding(held.getHost(), held.getHolding(), nowMillis));
      }
    }
    if (digest.getLoadsTold()) {
      loadsTold(digest, nowMillis);
    }
    if (digest.hasSpending()) {
      spendingTold(teller, digest, nowMillis);
    }
  }

  private void loadsTold(Digest digest, long nowMillis) {
    Map<String, FleetLoad.Use> uses = StateCodec.decodeLoads(digest.getLoadsList());
    if (!digest.getGroup().isEmpty()) {
      loads.forgetWhole();
      loads.told(GROUP_SOURCE + digest.getGroup(), uses, true, nowMillis);
    } else if (!shape.isDelegate()) {
      loads.toldWhole(uses, nowMillis);
    }
  }

  private void spendingTold(String teller, Digest digest, long nowMillis) {
    boolean whole = digest.getGroup().isEmpty();
    String source = whole ? FleetSpending.WHOLE : GROUP_SOURCE + digest.getGroup();
    if (whole ? !shape.isDelegate() : coversOthers(source)) {
      ToldSpending told = StateCodec.decodeSpending(digest.getSpending());
      spending.told(source, teller, told, nowMillis);
    }
  }

  /**
   * Takes in what a host says that it spent itself; in a large fleet it counts so at the delegates
   * of its group only, as these tell the others.
   */
  void spendingTold(String host, long incarnation, HostState state, long nowMillis) {
    if (state.hasSpending() && coversOthers(host)) {
      ToldSpending told = StateCodec.decodeSpending(state.getSpending());
      spending.told(host, teller(host, incarnation), told, nowMillis);
    }
  }

  /** Forgets what other sources tell of by now. */
  void upkeep(long nowMillis) {
    spending.upkeep(this::coversOthers, nowMillis);
    marks.refresh(nowMillis);
  }

  /** What delegates tell of the whole fleet stays for a while, as what was spent before. */
  private boolean coversOthers(String source) {
    if (source.equals(FleetSpending.WHOLE)) {
      return true;
    }
    if (!shape.isLarge()) {
      return !source.startsWith(GROUP_SOURCE);
    }
    return shape.isDelegate()
        && !source.equals(GROUP_SOURCE + shape.group())
        && (source.startsWith(GROUP_SOURCE) || shape.isInOwnGroup(source));
  }

  static String teller(String host, long incarnation) {
    return host + " " + incarnation;
  }
}
