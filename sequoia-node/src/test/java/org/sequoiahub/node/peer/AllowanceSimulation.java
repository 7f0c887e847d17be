package org.sequoiahub.node.peer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.workspace.Allowance;
import org.sequoiahub.core.workspace.Workspace;

/**
 * Simulates, in virtual time, hosts that serve one workspace with a limit, and counts the granted
 * tokens as the operators would. The count shares no code with the decision.
 */
final class AllowanceSimulation {

  /** Tokens of one request, a long prompt. */
  static final long REQUEST_TOKENS = 9_490;

  static final double LIMIT_PER_SECOND = 29_000;

  /**
   * The operators' bound is a window's allowance times this factor, plus {@link #TOLERANCE_TOKENS}.
   */
  private static final double TOLERANCE_FACTOR = 1.25;

  private static final double TOLERANCE_TOKENS = 110_000;
  private static final long WINDOW_MILLIS = 8_000;
  private static final int STEP_MILLIS = 10;

  /** Decides whether a host may serve a request. */
  interface Policy {
    boolean take(
        PeerSimulation simulation, PeerSimulation.Host host, Workspace workspace, long cost);
  }

  /** The policy of the product: sums of all hosts' spending, which arrive with a delay. */
  static final Policy DELAYED_SUMS =
      (simulation, host, workspace, cost) ->
          host.allowances.tryAcquire(workspace, cost, simulation.now()).granted();

  final PeerSimulation peers;
  private final Policy policy;
  private final Random random;
  private final Deque<long[]> granted = new ArrayDeque<>();
  private Workspace workspace;
  private double pendingTokens;
  private long grantedInWindow;
  private long countedFromMillis;
  private long grantedFromMillis;
  private double worstWindow;
  private long askedCount;
  private long refusedCount;
  private long grantedTokens;
  private final long[] grantedByHost;

  AllowanceSimulation(long seed, int hosts, Policy policy) {
    this.peers = new PeerSimulation(seed, hosts, 4);
    this.policy = policy;
    this.grantedByHost = new long[hosts];
    this.random = new Random(seed);
    this.workspace = limitedTo(LIMIT_PER_SECOND);
    configure();
  }

  private static Workspace limitedTo(double perSecond) {
    return new Workspace("w", 1, new Allowance(perSecond, perSecond, Allowance.Unit.TOKENS, 200));
  }

  /** Sets another limit at all hosts. */
  void setLimit(double perSecond) {
    workspace = limitedTo(perSecond);
    configure();
  }

  private void configure() {
    for (PeerSimulation.Host host : peers.running()) {
      host.allowances.updateAllowances(java.util.List.of(workspace), peers.now());
    }
  }

  /** Restarts a host, which reads the configuration at once. */
  void restart(int number) {
    peers.start(number);
    configure();
  }

  /** Advances the time while callers request a multiple of the limit at hosts drawn at random. */
  void offerLoad(long millis, double timesLimit) {
    offerLoad(millis, timesLimit, -1);
  }

  /** The same at one host, or at hosts drawn at random if {@code at} is negative. */
  void offerLoad(long millis, double timesLimit, int at) {
    for (long end = peers.now() + millis; peers.now() < end; ) {
      pendingTokens += timesLimit * LIMIT_PER_SECOND * STEP_MILLIS / 1_000;
      // A request is sent once a random part of its tokens is pending, so arrivals are uneven.
      while (pendingTokens >= REQUEST_TOKENS * random.nextDouble() * 2) {
        pendingTokens -= REQUEST_TOKENS;
        request(at < 0 ? random.nextInt(peers.size()) : at);
      }
      peers.advance(STEP_MILLIS);
    }
  }

  private void request(int number) {
    PeerSimulation.@Nullable Host host = peers.host(number);
    if (host == null) {
      return;
    }
    askedCount++;
    if (policy.take(peers, host, workspace, REQUEST_TOKENS)) {
      recordGrant(REQUEST_TOKENS);
      grantedByHost[number] += REQUEST_TOKENS;
    } else {
      refusedCount++;
    }
  }

  private void recordGrant(long tokens) {
    long now = peers.now();
    granted.add(new long[] {now, tokens});
    grantedInWindow += tokens;
    grantedTokens += tokens;
    while (granted.element()[0] <= now - WINDOW_MILLIS) {
      grantedInWindow -= granted.remove()[1];
    }
    if (now - countedFromMillis >= WINDOW_MILLIS) {
      worstWindow = Math.max(worstWindow, grantedInWindow / bound());
    }
  }

  private double bound() {
    double limit = workspace.allowance().perSecond();
    return (limit * WINDOW_MILLIS / 1_000 + workspace.allowance().burst()) * TOLERANCE_FACTOR
        + TOLERANCE_TOKENS;
  }

  /** Restarts the count; windows that began earlier are not counted. */
  void countFromNow() {
    countedFromMillis = peers.now();
    grantedFromMillis = peers.now();
    worstWindow = 0;
    askedCount = 0;
    refusedCount = 0;
    grantedTokens = 0;
    Arrays.fill(grantedByHost, 0);
  }

  /** Restarts the count, including windows that began earlier. */
  void countAllFromNow() {
    countFromNow();
    countedFromMillis = peers.now() - WINDOW_MILLIS;
  }

  /** Returns the most that was granted in a window, as a part of the operators' bound. */
  double worstWindow() {
    return worstWindow;
  }

  /** Returns the tokens granted by the hosts whose number matches. */
  long grantedBy(IntPredicate hosts) {
    return IntStream.range(0, grantedByHost.length)
        .filter(hosts)
        .mapToLong(host -> grantedByHost[host])
        .sum();
  }

  /** Returns the share of the requests that was refused. */
  double refusedShare() {
    return askedCount == 0 ? 0 : (double) refusedCount / askedCount;
  }

  /** Returns the granted tokens as a part of the limit over the counted time. */
  double grantedShare() {
    double seconds = (peers.now() - grantedFromMillis) / 1_000.0;
    return grantedTokens / (workspace.allowance().perSecond() * seconds);
  }
}
