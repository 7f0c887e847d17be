package org.sequoiahub.node.peer;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sequoiahub.core.concurrency.HostCalls;
import org.sequoiahub.core.concurrency.RunGrant;
import org.sequoiahub.core.concurrency.RunPermitIssuer;
import org.sequoiahub.core.concurrency.RunPermits;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.ratelimit.IssuerFollowing;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.peer.PermitGrants;
import org.sequoiahub.schema.peer.PermitRequest;
import org.sequoiahub.schema.peer.RunPermitGrants;
import org.sequoiahub.schema.peer.RunPermitRequest;

/**
 * Exchanges run permits with the host that this one follows and with those that follow this one.
 * Decision thread only; idle while no runner fails when it refuses too many calls.
 */
final class RunPermitExchange {

  /** Interval at which an unchanged request is repeated (ms). */
  private static final long REPEAT_PERIOD_MILLIS = 100;

  /** Minimum interval between requests when the calls change (ms). */
  private static final long MIN_REQUEST_PERIOD_MILLIS = 10;

  /**
   * How long after a request permits that answer it are accepted (ms): less than the time after
   * which the issuer counts them as lost.
   */
  private static final long ANSWER_VALID_MILLIS = 300;

  private final String self;
  private final long incarnation;
  private final Members<HostState> members;
  private final IssuerFollowing following;
  private final RunPermits permits;
  private final RunPermitIssuer issuer;
  private final Supplier<PeerDatagram.Builder> datagrams;
  private final BiConsumer<String, byte[]> sender;
  private final Consumer<Set<String>> permitsListener;

  /** When the last requests were sent (ms), by their number. */
  private final Map<Long, Long> requestMillis = new HashMap<>();

  private long requestNumber;
  private long requestedMillis = Long.MIN_VALUE / 2;
  private long requestedChange;
  private String grantsFrom = "";
  private long grantsIncarnation;
  private long grantsNumber;

  /**
   * Creates an exchange.
   *
   * @param self the name of this host
   * @param incarnation the start time of this process (ms since the epoch)
   * @param datagrams creates datagrams of this host, without a body
   * @param sender sends bytes to an IP address
   * @param permitsListener receives the runners for which a waiting call may be sent now
   */
  RunPermitExchange(
      String self,
      long incarnation,
      Members<HostState> members,
      RunnerStates runnerStates,
      Supplier<PeerDatagram.Builder> datagrams,
      BiConsumer<String, byte[]> sender,
      Consumer<Set<String>> permitsListener) {
    this.self = requireNonNull(self, "self must not be null");
    this.incarnation = incarnation;
    this.members = requireNonNull(members, "members must not be null");
    this.following = runnerStates.following();
    this.permits = runnerStates.runPermits();
    this.issuer = new RunPermitIssuer(runnerStates.refusalLimits(), runnerStates::capacityReduced);
    this.datagrams = requireNonNull(datagrams, "datagrams must not be null");
    this.sender = requireNonNull(sender, "sender must not be null");
    this.permitsListener = requireNonNull(permitsListener, "permitsListener must not be null");
  }

  boolean isIssuerIdle() {
    return issuer.isIdle();
  }

  /** Requests permits if that is due, and places the calls that can use a permit again. */
  void requestIfDue(long nowMillis) {
    Set<String> usable = permits.usableRunners(nowMillis);
    if (!usable.isEmpty()) {
      permitsListener.accept(usable);
    }
    long since = nowMillis - requestedMillis;
    boolean changed = permits.changeCount() != requestedChange;
    if (since < MIN_REQUEST_PERIOD_MILLIS || (!changed && since < REPEAT_PERIOD_MILLIS)) {
      return;
    }
    List<HostCalls> calls = permits.report(nowMillis);
    requestedChange = permits.changeCount();
    if (calls.isEmpty() || following.followed().isEmpty()) {
      return;
    }
    requestedMillis = nowMillis;
    requestMillis.values().removeIf(sent -> nowMillis - sent >= ANSWER_VALID_MILLIS);
    requestMillis.put(++requestNumber, nowMillis);
    if (following.isFollowingSelf()) {
      issuer.receive(self, incarnation, requestNumber, grantsNumber(self), calls, nowMillis);
    } else {
      members
          .find(following.followed())
          .ifPresent(
              member ->
                  sender.accept(member.ip(), encodeRequest(calls, grantsNumber(member.host()))));
    }
  }

  private long grantsNumber(String host) {
    return host.equals(grantsFrom) ? grantsNumber : 0;
  }

  private byte[] encodeRequest(List<HostCalls> calls, long acknowledged) {
    RunPermitRequest run = RunPermitCodec.encodeCalls(requestNumber, acknowledged, calls);
    return datagrams
        .get()
        .setPermitRequest(PermitRequest.newBuilder().setRun(run))
        .build()
        .toByteArray();
  }

  /** Issues the permits that are free to the hosts that follow this one. */
  void issue(double share, long nowMillis) {
    issuer
        .issue(share, nowMillis)
        .forEach(
            (host, reply) -> {
              if (!host.equals(self)) {
                members
                    .find(host)
                    .ifPresent(member -> sender.accept(member.ip(), encodeGrants(reply)));
              } else if (following.isFollowingSelf()) {
                receive(self, incarnation, reply, nowMillis);
              }
            });
  }

  private byte[] encodeGrants(RunPermitIssuer.HostGrants reply) {
    return datagrams
        .get()
        .setPermitGrants(PermitGrants.newBuilder().setRun(RunPermitCodec.encodeGrants(reply)))
        .build()
        .toByteArray();
  }

  /** Applies another host's calls and demands. */
  void receivedRequest(
      String host, long hostIncarnation, RunPermitRequest request, long nowMillis) {
    issuer.receive(
        host,
        hostIncarnation,
        request.getNumber(),
        request.getAcknowledged(),
        RunPermitCodec.decodeCalls(request),
        nowMillis);
  }

  /** Applies the grants of the host that this host follows. */
  void receivedGrants(String host, long hostIncarnation, RunPermitGrants grants, long nowMillis) {
    receive(host, hostIncarnation, RunPermitCodec.decodeGrants(grants), nowMillis);
  }

  private void receive(
      String host, long hostIncarnation, RunPermitIssuer.HostGrants reply, long nowMillis) {
    boolean sameSource = host.equals(grantsFrom) && hostIncarnation == grantsIncarnation;
    if (sameSource && reply.number() <= grantsNumber) {
      return;
    }
    grantsFrom = host;
    grantsIncarnation = hostIncarnation;
    grantsNumber = reply.number();
    Long asked = requestMillis.get(reply.answers());
    boolean valid = asked != null && nowMillis - asked < ANSWER_VALID_MILLIS;
    Set<String> runners = new HashSet<>();
    for (RunGrant grant : reply.grants()) {
      permits.receiveGrant(grant, valid, nowMillis);
      runners.add(grant.runner());
    }
    if (!runners.isEmpty()) {
      permitsListener.accept(runners);
    }
  }
}
