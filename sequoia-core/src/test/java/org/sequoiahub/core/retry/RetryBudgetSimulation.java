package org.sequoiahub.core.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Simulates in virtual time hosts that retry as often as they may and whose processes terminate and
 * restart. Arrivals at runners are checked against the budget in the way the operators count them.
 */
final class RetryBudgetSimulation {

  /** The operators' settings. */
  static final RetryBudgetSettings SETTINGS = new RetryBudgetSettings(0.2, 54, 10_000);

  private static final String SERVICE = "s";
  private static final int TICK_MILLIS = 50;

  /** How long a process sees only itself after its start. */
  private static final int JOIN_MILLIS = 800;

  /** How long a host counts for another one after it was last seen. */
  private static final long RETAIN_MILLIS = 20_000;

  /** The longest time from a host's decision to the runner's count. */
  private static final int MAX_DELAY_MILLIS = 30;

  private final Random random;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> arrivals = new ArrayList<>();
  private final Starter starter;
  private long now = 100_000;
  private long denied;

  /** Starts a process of a host. */
  @FunctionalInterface
  interface Starter {
    SharedRetryBudget start(boolean first, long nowMillis);
  }

  private static final class Host {
    @Nullable SharedRetryBudget budget;
    long startedMillis;
    final Map<Host, Long> lastSeenMillis = new HashMap<>();
    double requestsPerSecond;
    boolean isolated;
    long frozenUntilMillis;

    /** How long the host's processes have been suspended; its monotonic clock does not count it. */
    long suspendedMillis;
  }

  /**
   * Creates hosts whose first processes start now.
   *
   * @param starter starts the first or a later process of a host
   */
  RetryBudgetSimulation(long seed, List<Integer> requestsPerSecond, Starter starter) {
    this.random = new Random(seed);
    this.starter = starter;
    for (int rate : requestsPerSecond) {
      add(rate, true);
    }
  }

  int size() {
    return hosts.size();
  }

  /** Returns the fraction of the wanted retries that was sent. */
  double servedFraction() {
    return (double) arrivals.size() / (arrivals.size() + denied);
  }

  /** Adds a host that doesn't know whether a process ran on it before. */
  void join(int requestsPerSecond) {
    add(requestsPerSecond, false);
  }

  private void add(int requestsPerSecond, boolean first) {
    Host host = new Host();
    host.requestsPerSecond = requestsPerSecond;
    hosts.add(host);
    start(hosts.size() - 1, first);
  }

  void kill(int host) {
    hosts.get(host).budget = null;
    hosts.get(host).lastSeenMillis.clear();
  }

  void start(int host) {
    start(host, false);
  }

  private void start(int host, boolean first) {
    hosts.get(host).budget = starter.start(first, now - hosts.get(host).suspendedMillis);
    hosts.get(host).startedMillis = now;
  }

  /** Sets whether a host is isolated: it sees no other host, and no other host sees it. */
  void isolate(int host, boolean isolated) {
    hosts.get(host).isolated = isolated;
  }

  /** Suspends a host for a time that its clock does not count. */
  void freeze(int host, long millis) {
    Host frozen = hosts.get(host);
    long until = Math.max(frozen.frozenUntilMillis, now + millis);
    frozen.suspendedMillis += until - Math.max(frozen.frozenUntilMillis, now);
    frozen.frozenUntilMillis = until;
  }

  /** Returns whether a process of the host is running. */
  boolean isUp(int host) {
    return hosts.get(host).budget != null;
  }

  /**
   * Advances the virtual time.
   *
   * @param failingFraction the fraction of the requests whose first send fails; 1 for as many
   *     retries as the budget allows
   */
  void advanceTime(long millis, double failingFraction) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      for (Host host : hosts) {
        SharedRetryBudget budget = host.budget;
        if (budget != null && host.frozenUntilMillis <= now) {
          tick(host, budget, failingFraction);
        }
      }
    }
  }

  private void tick(Host host, SharedRetryBudget budget, double failingFraction) {
    int visibleHosts = visibleHosts(host);
    long hostMillis = now - host.suspendedMillis;
    int retries = 0;
    double expected = host.requestsPerSecond * TICK_MILLIS / 1_000;
    int arrived = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int request = 0; request < arrived; request++) {
      budget.recordRequest(SERVICE, hostMillis);
      requests.add(now);
      retries += random.nextDouble() < failingFraction ? 1 : 0;
    }
    boolean greedy = failingFraction >= 1;
    for (int retry = 0; greedy || retry < retries; retry++) {
      if (budget.tryAcquireRetry(SERVICE, visibleHosts, hostMillis)) {
        arrivals.add(now + random.nextInt(MAX_DELAY_MILLIS));
      } else if (greedy) {
        return;
      } else {
        denied++;
      }
    }
  }

  /** Returns how many hosts a host sees, itself included; 0 if it sees no other one. */
  private int visibleHosts(Host host) {
    int visibleHosts = 1;
    for (Host other : hosts) {
      boolean reachable =
          other.budget != null
              && other.frozenUntilMillis <= now
              && !host.isolated
              && !other.isolated;
      if (other != host && reachable && now - host.startedMillis >= JOIN_MILLIS) {
        host.lastSeenMillis.put(other, now);
      }
      visibleHosts +=
          now - host.lastSeenMillis.getOrDefault(other, -RETAIN_MILLIS) < RETAIN_MILLIS ? 1 : 0;
    }
    return visibleHosts == 1 && hosts.size() > 1 ? 0 : visibleHosts;
  }

  /** Returns by how much arrivals exceed the budget in the worst window; 0 if they never do. */
  double worstExcess() {
    double worst = 0;
    for (long from : arrivals) {
      long inWindow = count(arrivals, from, from + SETTINGS.windowMillis());
      long requested =
          Math.max(
              count(requests, from, from + SETTINGS.windowMillis()),
              Math.max(
                  count(requests, from - SETTINGS.windowMillis(), from),
                  count(
                      requests,
                      from - SETTINGS.windowMillis() / 2,
                      from + SETTINGS.windowMillis() / 2)));
      worst = Math.max(worst, inWindow - SETTINGS.ratio() * requested - SETTINGS.allowance());
    }
    return worst;
  }

  private static long count(List<Long> times, long from, long to) {
    return times.stream().filter(at -> at >= from && at < to).count();
  }
}
