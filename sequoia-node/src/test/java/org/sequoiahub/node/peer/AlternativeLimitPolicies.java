package org.sequoiahub.node.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahub.core.ratelimit.PermitIssuer;
import org.sequoiahub.core.workspace.Allowance;
import org.sequoiahub.core.workspace.Workspace;

/** Policies for runners' rate limits that were weighed against permits. */
final class AlternativeLimitPolicies {

  private static final double MILLIS_PER_SECOND = 1_000;

  private AlternativeLimitPolicies() {}

  /** No host keeps to a limit. */
  static RunnerLimitSimulation.LimitPolicy none() {
    return new RunnerLimitSimulation.LimitPolicy() {
      @Override
      public long waitMillis(
          PeerSimulation peers,
          PeerSimulation.Host host,
          String runner,
          Object call,
          int priority) {
        return 0;
      }

      @Override
      public boolean tryAcquire(
          PeerSimulation peers,
          PeerSimulation.Host host,
          String runner,
          Object call,
          int priority) {
        return true;
      }
    };
  }

  /** Each host keeps to an equal share of the limit. */
  static RunnerLimitSimulation.LimitPolicy equalShares() {
    return new EqualShares();
  }

  /** Each host decides by the sum of what all hosts sent, as workspaces' allowances are kept. */
  static RunnerLimitSimulation.LimitPolicy delayedSums() {
    return new DelayedSums();
  }

  private static final class EqualShares implements RunnerLimitSimulation.LimitPolicy {
    private final Map<String, double[]> buckets = new HashMap<>();

    /** Returns the permits and the time of the last filling; fills them. */
    private double[] bucket(PeerSimulation peers, PeerSimulation.Host host, String runner) {
      double[] bucket =
          buckets.computeIfAbsent(host.number + " " + runner, key -> new double[] {0, peers.now()});
      double elapsed = peers.now() - bucket[1];
      bucket[0] = Math.min(1, bucket[0] + elapsed * perMilli(peers, host, runner));
      bucket[1] = peers.now();
      return bucket;
    }

    private static double perMilli(PeerSimulation peers, PeerSimulation.Host host, String runner) {
      double limit =
          Math.max(PermitIssuer.MIN_PER_SECOND, host.runnerStates.limits().perSecond(runner));
      return limit / peers.size() / MILLIS_PER_SECOND;
    }

    @Override
    public long waitMillis(
        PeerSimulation peers, PeerSimulation.Host host, String runner, Object call, int priority) {
      if (!host.runnerStates.limits().isLimited(runner)) {
        return 0;
      }
      double missing = 1 - bucket(peers, host, runner)[0];
      return missing <= 0 ? 0 : (long) Math.ceil(missing / perMilli(peers, host, runner));
    }

    @Override
    public boolean tryAcquire(
        PeerSimulation peers, PeerSimulation.Host host, String runner, Object call, int priority) {
      if (!host.runnerStates.limits().isLimited(runner)) {
        return true;
      }
      double[] bucket = bucket(peers, host, runner);
      boolean permitted = bucket[0] >= 1;
      bucket[0] -= permitted ? 1 : 0;
      return permitted;
    }
  }

  private static final class DelayedSums implements RunnerLimitSimulation.LimitPolicy {
    private static final long UNITS_PER_CALL = 1_000;

    private final Map<String, Long> blockedUntilMillis = new HashMap<>();

    @Override
    public long waitMillis(
        PeerSimulation peers, PeerSimulation.Host host, String runner, Object call, int priority) {
      long until = blockedUntilMillis.getOrDefault(host.number + " " + runner, 0L);
      return Math.max(0, until - peers.now());
    }

    @Override
    public boolean tryAcquire(
        PeerSimulation peers, PeerSimulation.Host host, String runner, Object call, int priority) {
      if (!host.runnerStates.limits().isLimited(runner)) {
        return true;
      }
      double limit =
          Math.max(PermitIssuer.MIN_PER_SECOND, host.runnerStates.limits().perSecond(runner));
      Workspace workspace =
          new Workspace(
              runner,
              1,
              new Allowance(limit * UNITS_PER_CALL, UNITS_PER_CALL, Allowance.Unit.REQUESTS, 1));
      host.allowances.updateAllowances(List.of(workspace), peers.now());
      var decision = host.allowances.tryAcquire(workspace, UNITS_PER_CALL, peers.now());
      if (!decision.granted()) {
        blockedUntilMillis.put(
            host.number + " " + runner, peers.now() + decision.retryAfterMillis());
      }
      return decision.granted();
    }
  }
}
