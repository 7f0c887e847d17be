package org.sequoiahub.node.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.sequoiahub.core.workspace.Workspace;

/**
 * Allowance policies that are compared with the product's. They run under the most favorable
 * conditions: their hosts lose no message, and leases take no time.
 */
final class AlternativePolicies {

  /** Delay after which a host knows of requests at another one (ms). */
  private static final long PROPAGATION_MILLIS = 300;

  /** Time after which a silent host is suspected (ms). */
  private static final long SUSPICION_MILLIS = 1_000;

  /** Window over which a host's share of the demand is taken (ms). */
  private static final long DEMAND_WINDOW_MILLIS = 2_000;

  private AlternativePolicies() {}

  private static final class Bucket {
    double level;
    long atMillis;

    Bucket(double level, long atMillis) {
      this.level = level;
      this.atMillis = atMillis;
    }

    boolean take(double perSecond, double burst, long cost, long now) {
      level = Math.min(burst, level + perSecond * (now - atMillis) / 1_000);
      atMillis = now;
      if (level <= 0) {
        return false;
      }
      level -= cost;
      return true;
    }
  }

  /** Each host may spend an equal share. */
  static AllowanceSimulation.Policy equalShares() {
    Map<PeerSimulation.Host, Bucket> buckets = new HashMap<>();
    return (simulation, host, workspace, cost) -> {
      double rate = workspace.allowance().perSecond() / simulation.size();
      double burst = workspace.allowance().burst() / simulation.size();
      return buckets
          .computeIfAbsent(host, h -> new Bucket(burst, simulation.now()))
          .take(rate, burst, cost, simulation.now());
    };
  }

  /** Each host may spend its callers' share of the recent demand. */
  static AllowanceSimulation.Policy demandShares() {
    Deque<long[]> asked = new ArrayDeque<>();
    Map<PeerSimulation.Host, Bucket> buckets = new HashMap<>();
    return (simulation, host, workspace, cost) -> {
      long now = simulation.now();
      while (!asked.isEmpty() && asked.element()[0] < now - DEMAND_WINDOW_MILLIS) {
        asked.remove();
      }
      asked.add(new long[] {now, host.number});
      double own = 0;
      double all = 0;
      for (Iterator<long[]> each = asked.iterator(); each.hasNext(); ) {
        long[] one = each.next();
        boolean mine = one[1] == host.number;
        boolean known = mine || one[0] <= now - PROPAGATION_MILLIS;
        own += mine ? 1 : 0;
        all += known && (mine || simulation.reaches((int) one[1], host.number)) ? 1 : 0;
      }
      double rate = workspace.allowance().perSecond() * own / all;
      double burst = workspace.allowance().burst() * own / all;
      return buckets
          .computeIfAbsent(host, h -> new Bucket(burst, now))
          .take(rate, burst, cost, now);
    };
  }

  /** The first live host that is reachable holds the bucket, and the others ask it. */
  static AllowanceSimulation.Policy homeLeases() {
    Map<PeerSimulation.Host, Bucket> homes = new HashMap<>();
    return new AllowanceSimulation.Policy() {
      @Override
      public boolean take(
          PeerSimulation simulation, PeerSimulation.Host host, Workspace workspace, long cost) {
        PeerSimulation.Host home = homeOf(simulation, host);
        long now = simulation.now();
        double part = reachableShare(simulation, home);
        double rate = workspace.allowance().perSecond() * part;
        double burst = workspace.allowance().burst() * part;
        // A new home does not know what its predecessor granted. It starts without a burst once
        // those grants are a second old.
        Bucket bucket = homes.computeIfAbsent(home, h -> new Bucket(0, now + SUSPICION_MILLIS));
        return now >= bucket.atMillis && bucket.take(rate, burst, cost, now);
      }
    };
  }

  private static PeerSimulation.Host homeOf(PeerSimulation simulation, PeerSimulation.Host host) {
    for (int number = 0; number < simulation.size(); number++) {
      PeerSimulation.Host other = simulation.host(number);
      if (other != null && (other == host || simulation.reaches(number, host.number))) {
        return other;
      }
    }
    return host;
  }

  private static double reachableShare(PeerSimulation simulation, PeerSimulation.Host home) {
    int reached = 1;
    for (int number = 0; number < simulation.size(); number++) {
      reached += number != home.number && simulation.reaches(number, home.number) ? 1 : 0;
    }
    return (double) reached / simulation.size();
  }
}
