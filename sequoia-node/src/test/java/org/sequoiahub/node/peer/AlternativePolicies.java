package org.sequoiahub.node.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.sequoiahub.core.workspace.Workspace;

/**
 * Ways of keeping to an allowance that were weighed against the product's. They are given what is
 * best for them: nothing that they tell each other is lost, and leases cost no time.
 */
final class AlternativePolicies {

  /** How late hosts know of each other (ms), and how long they take to believe in silence. */
  private static final long PROPAGATION_MILLIS = 300;

  private static final long SUSPICION_MILLIS = 1_000;

  /** Over which time a host's part of the demand is taken (ms). */
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

  /** Each host may spend an equal part. */
  static AllowanceSimulation.Policy equalShares() {
    Map<PeerSimulation.Host, Bucket> buckets = new HashMap<>();
    return (world, host, workspace, cost) -> {
      double rate = workspace.allowance().perSecond() / world.size();
      double burst = workspace.allowance().burst() / world.size();
      return buckets
          .computeIfAbsent(host, h -> new Bucket(burst, world.now()))
          .take(rate, burst, cost, world.now());
    };
  }

  /** Each host may spend the part that its callers lately had of what all asked for. */
  static AllowanceSimulation.Policy demandShares() {
    Deque<long[]> asked = new ArrayDeque<>();
    Map<PeerSimulation.Host, Bucket> buckets = new HashMap<>();
    return (world, host, workspace, cost) -> {
      long now = world.now();
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
        all += known && (mine || world.reaches((int) one[1], host.number)) ? 1 : 0;
      }
      double rate = workspace.allowance().perSecond() * own / all;
      double burst = workspace.allowance().burst() * own / all;
      return buckets
          .computeIfAbsent(host, h -> new Bucket(burst, now))
          .take(rate, burst, cost, now);
    };
  }

  /** The first living host that can be reached keeps the bucket; the others ask it. */
  static AllowanceSimulation.Policy homeLeases() {
    Map<PeerSimulation.Host, Bucket> homes = new HashMap<>();
    return new AllowanceSimulation.Policy() {
      @Override
      public boolean take(PeerSimulation world, PeerSimulation.Host host, Workspace workspace, long cost) {
        PeerSimulation.Host home = homeOf(world, host);
        long now = world.now();
        double part = reachableShare(world, home);
        double rate = workspace.allowance().perSecond() * part;
        double burst = workspace.allowance().burst() * part;
        // A home that is new knows nothing of what the one before granted: it begins when that
        // one's grants are a second old, without a burst.
        Bucket bucket = homes.computeIfAbsent(home, h -> new Bucket(0, now + SUSPICION_MILLIS));
        return now >= bucket.atMillis && bucket.take(rate, burst, cost, now);
      }
    };
  }

  private static PeerSimulation.Host homeOf(PeerSimulation world, PeerSimulation.Host host) {
    for (int number = 0; number < world.size(); number++) {
      PeerSimulation.Host other = world.host(number);
      if (other != null && (other == host || world.reaches(number, host.number))) {
        return other;
      }
    }
    return host;
  }

  private static double reachableShare(PeerSimulation world, PeerSimulation.Host home) {
    int reached = 1;
    for (int number = 0; number < world.size(); number++) {
      reached += number != home.number && world.reaches(number, home.number) ? 1 : 0;
    }
    return (double) reached / world.size();
  }
}
