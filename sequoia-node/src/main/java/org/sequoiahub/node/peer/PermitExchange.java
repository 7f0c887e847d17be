package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.ratelimit.IssuerFollowing;
import org.sequoiahub.core.ratelimit.PermitDemand;
import org.sequoiahub.core.ratelimit.PermitGrant;
import org.sequoiahub.core.ratelimit.PermitIssuer;
import org.sequoiahub.core.ratelimit.RunnerLimits;
import org.sequoiahub.core.ratelimit.SenderPermits;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.peer.PermitGrants;
import org.sequoiahub.schema.peer.PermitRequest;
import org.sequoiahub.schema.peer.UnusedPermits;

/**
 * Chooses the host whose permits this one uses, requests permits for calls to limited runners from
 * it, and issues permits to the hosts that follow this one. Decision thread only; idle while no
 * runner needs permits.
 *
 * <p>All hosts prefer the oldest process that they hear of, in a large fleet the oldest delegate: a
 * host that restarts then never takes over from one that is working.
 */
public final class PermitExchange {

  /** Interval at which the issuer is chosen again (ms). */
  private static final long CHOICE_PERIOD_MILLIS = 100;

  /** Interval at which unchanged demands are repeated (ms). */
  private static final long REPEAT_PERIOD_MILLIS = 100;

  /** Minimum interval between requests when the demands change (ms). */
  private static final long MIN_REQUEST_PERIOD_MILLIS = 10;

  /** How long the largest known number of hosts is used (ms). */
  private static final long HOST_COUNT_RETENTION_MILLIS = 60_000;

  /** The number of hosts that is assumed by a host that has never known another one. */
  private static final int UNKNOWN_HOST_COUNT = 50;

  /** Maximum number of permits of one demand that is accepted. */
  private static final int MAX_PERMITS = 1 << 16;

  private final String self;
  private final long incarnation;
  private final Members<HostState> members;
  private final FleetTopology topology;
  private final RunnerStates runnerStates;
  private final RunnerLimits limits;
  private final IssuerFollowing following;
  private final SenderPermits permits;
  private final RunPermitExchange runPermits;
  private final PermitIssuer issuer = new PermitIssuer();
  private final LongFunction<Integer> hostCount;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final Runnable followingListener;
  private final Consumer<Set<String>> permitsListener;
  private final Map<String, Received> lastReceived = new HashMap<>();
  private boolean leaving;
  private long choiceMillis = Long.MIN_VALUE / 2;
  private long requestedMillis = Long.MIN_VALUE / 2;
  private long requestedChange;
  private boolean demandStated;
  private int largestHostCount;
  private long largestHostCountMillis;

  /** The number of the last grants of a process. */
  private record Received(long incarnation, long number) {}

  /**
   * Creates an exchange.
   *
   * @param self the name of this host
   * @param incarnation the start time of this process (ms since the epoch)
   * @param hostCount the number of hosts that share every limit at a time; 0 if it is not known
   * @param datagrams creates datagrams of this host, without a body
   * @param sender sends bytes to an IP address
   * @param followingListener invoked when this host follows another issuer, which it must state
   * @param permitsListener receives the runners for which this host received permits or estimates
   */
  public PermitExchange(
      String self,
      long incarnation,
      Members<HostState> members,
      FleetTopology topology,
      RunnerStates runnerStates,
      LongFunction<Integer> hostCount,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender,
      Runnable followingListener,
      Consumer<Set<String>> permitsListener) {
    this.self = requireNonNull(self, "self must not be null");
    this.incarnation = incarnation;
    this.members = requireNonNull(members, "members must not be null");
    this.topology = requireNonNull(topology, "topology must not be null");
    this.runnerStates = requireNonNull(runnerStates, "runnerStates must not be null");
    this.limits = runnerStates.limits();
    this.following = runnerStates.following();
    this.permits = runnerStates.permits();
    this.hostCount = hostCount;
    this.datagrams = datagrams;
    this.sender = sender;
    this.followingListener = followingListener;
    this.permitsListener = permitsListener;
    this.runPermits =
        new RunPermitExchange(
            self, incarnation, members, runnerStates, datagrams, sender, permitsListener);
  }

  /** Issues no more permits from now on, as this host leaves the fleet. */
  public void leave() {
    leaving = true;
  }

  /** Chooses the issuer, requests permits and issues those that are due. */
  public void tick(long nowMillis) {
    if (!runnerStates.arePermitsNeeded()) {
      return;
    }
    if (nowMillis - choiceMillis >= CHOICE_PERIOD_MILLIS) {
      choiceMillis = nowMillis;
      chooseIssuer(nowMillis);
    }
    if (limits.isAnyInForce()) {
      requestIfDue(nowMillis);
      issue(nowMillis);
    }
    if (runnerStates.refusalLimits().isAnyInForce()) {
      runPermits.requestIfDue(nowMillis);
      issueRunPermits(nowMillis);
    }
  }

  private void issueRunPermits(long nowMillis) {
    if (!leaving && !runPermits.isIssuerIdle()) {
      runPermits.issue(share(nowMillis), nowMillis);
    }
  }

  private void chooseIssuer(long nowMillis) {
    boolean mayIssue = !leaving && (!topology.isLarge() || topology.isDelegate());
    Set<String> delegates = topology.delegates();
    String oldest = mayIssue ? self : "";
    long oldestIncarnation = mayIssue ? incarnation : Long.MAX_VALUE;
    for (Member<HostState> member : members.reachable(nowMillis)) {
      boolean eligible =
          isRecent(member, nowMillis)
              && !member.leaving()
              && (!topology.isLarge() || delegates.contains(member.host()));
      boolean older =
          member.incarnation() < oldestIncarnation
              || (member.incarnation() == oldestIncarnation && member.host().compareTo(oldest) < 0);
      if (eligible && older) {
        oldest = member.host();
        oldestIncarnation = member.incarnation();
      }
    }
    boolean previousLeft = members.find(following.followed()).filter(Member::leaving).isPresent();
    if (following.prefer(oldest, previousLeft, nowMillis)) {
      followingListener.run();
    }
  }

  private static boolean isRecent(Member<HostState> member, long nowMillis) {
    return nowMillis - member.lastSeenMillis() < IssuerFollowing.VALID_MILLIS;
  }

  private void requestIfDue(long nowMillis) {
    long since = nowMillis - requestedMillis;
    boolean changed = permits.changeCount() != requestedChange;
    if (since < MIN_REQUEST_PERIOD_MILLIS || (!changed && since < REPEAT_PERIOD_MILLIS)) {
      return;
    }
    List<PermitDemand> demands = permits.demands(nowMillis);
    Map<String, Integer> unused = permits.takeLapsed(nowMillis);
    if (demands.isEmpty() && !demandStated && unused.isEmpty()) {
      return;
    }
    demandStated = !demands.isEmpty();
    requestedMillis = nowMillis;
    requestedChange = permits.changeCount();
    if (following.isFollowingSelf()) {
      issuer.takeBack(unused);
      issuer.receiveDemands(self, Long.MAX_VALUE, demands, nowMillis);
    } else {
      members
          .find(following.followed())
          .ifPresent(
              member ->
                  sender.accept(member.ip(), encodeRequest(member, demands, unused).toByteArray()));
    }
  }

  private PeerDatagram encodeRequest(
      Member<HostState> member, List<PermitDemand> demands, Map<String, Integer> unused) {
    Received received = lastReceived.get(member.host());
    PermitRequest.Builder request =
        PermitRequest.newBuilder().setAcknowledged(received == null ? 0 : received.number);
    for (PermitDemand demand : demands) {
      request.addDemands(
          org.sequoiahub.schema.peer.PermitDemand.newBuilder()
              .setRunner(demand.runner())
              .setPriority(demand.priority())
              .setPermits(demand.permits()));
    }
    unused.forEach(
        (runner, count) ->
            request.addUnused(UnusedPermits.newBuilder().setRunner(runner).setPermits(count)));
    return datagrams.get().setPermitRequest(request).build();
  }

  /** Returns the part of every limit that this host may issue, from 0 to 1. */
  double share(long nowMillis) {
    int followers = following.isFollowingSelf() ? 1 : 0;
    for (Member<HostState> member : members.reachable(nowMillis)) {
      HostState state = member.state();
      boolean follows = state != null && state.getPermitIssuer().equals(self);
      followers += follows && isRecent(member, nowMillis) ? 1 : 0;
    }
    return (double) followers / Math.max(followers, sharingHosts(nowMillis));
  }

  /**
   * Returns how many hosts share the limits: the largest number known in the last time, as hosts
   * that are cut off for long are still running.
   */
  private int sharingHosts(long nowMillis) {
    int known = hostCount.apply(nowMillis);
    boolean replace =
        known >= largestHostCount
            || (known > 0 && nowMillis - largestHostCountMillis >= HOST_COUNT_RETENTION_MILLIS);
    if (replace) {
      largestHostCount = known;
      largestHostCountMillis = nowMillis;
    }
    return largestHostCount == 0 ? UNKNOWN_HOST_COUNT : largestHostCount;
  }

  private void issue(long nowMillis) {
    if (leaving || issuer.isIdle()) {
      return;
    }
    issuer
        .issue(limits, share(nowMillis), nowMillis)
        .forEach(
            (host, reply) -> {
              if (host.equals(self)) {
                apply(reply.grants(), nowMillis);
              } else {
                members
                    .find(host)
                    .ifPresent(member -> sender.accept(member.ip(), encodeGrants(reply)));
              }
            });
  }

  private byte[] encodeGrants(PermitIssuer.HostGrants reply) {
    PermitGrants.Builder message = PermitGrants.newBuilder().setNumber(reply.number());
    for (PermitGrant grant : reply.grants()) {
      message.addGrants(
          org.sequoiahub.schema.peer.PermitGrant.newBuilder()
              .setRunner(grant.runner())
              .setPermits(grant.permits())
              .setWaitMs((int) Math.min(Integer.MAX_VALUE, grant.waitMillis())));
    }
    return datagrams.get().setPermitGrants(message).build().toByteArray();
  }

  /**
   * Applies another host's request for permits.
   *
   * @param hostIncarnation identifies the process that sent it
   */
  public void receivedRequest(
      String host, long hostIncarnation, PermitRequest request, long nowMillis) {
    if (request.hasRun()) {
      runPermits.receivedRequest(host, hostIncarnation, request.getRun(), nowMillis);
      issueRunPermits(nowMillis);
      return;
    }
    List<PermitDemand> demands = new ArrayList<>();
    for (org.sequoiahub.schema.peer.PermitDemand demand : request.getDemandsList()) {
      int count = Math.min(demand.getPermits(), MAX_PERMITS);
      if (!demand.getRunner().isEmpty() && count > 0) {
        demands.add(new PermitDemand(demand.getRunner(), demand.getPriority(), count));
      }
    }
    Map<String, Integer> unused = new HashMap<>();
    for (UnusedPermits lapsed : request.getUnusedList()) {
      int count = Math.min(lapsed.getPermits(), MAX_PERMITS);
      if (count > 0) {
        unused.merge(lapsed.getRunner(), count, Integer::sum);
      }
    }
    issuer.takeBack(unused);
    issuer.receiveDemands(host, request.getAcknowledged(), demands, nowMillis);
    issue(nowMillis);
  }

  /** Applies the grants of another host, if this host follows it. */
  public void receivedGrants(
      String host, long hostIncarnation, PermitGrants grants, long nowMillis) {
    if (grants.hasRun()) {
      if (host.equals(following.followed())) {
        runPermits.receivedGrants(host, hostIncarnation, grants.getRun(), nowMillis);
      }
      return;
    }
    Received last = lastReceived.get(host);
    boolean repeated =
        last != null && last.incarnation == hostIncarnation && grants.getNumber() <= last.number;
    if (repeated || !host.equals(following.followed())) {
      return;
    }
    lastReceived.put(host, new Received(hostIncarnation, grants.getNumber()));
    List<PermitGrant> received = new ArrayList<>();
    for (org.sequoiahub.schema.peer.PermitGrant grant : grants.getGrantsList()) {
      if (!grant.getRunner().isEmpty() && limits.isLimited(grant.getRunner())) {
        int count = Math.max(0, Math.min(grant.getPermits(), MAX_PERMITS));
        long wait = Integer.toUnsignedLong(grant.getWaitMs());
        received.add(new PermitGrant(grant.getRunner(), count, wait));
      }
    }
    apply(received, nowMillis);
  }

  private void apply(List<PermitGrant> grants, long nowMillis) {
    Set<String> runners = new HashSet<>();
    for (PermitGrant grant : grants) {
      permits.receiveGrant(grant, nowMillis);
      runners.add(grant.runner());
    }
    if (!runners.isEmpty()) {
      permitsListener.accept(runners);
    }
  }
}
