package org.sequoiahub.core.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Hosts that retry as often as they may, in virtual time; their processes end and start again. What
 * runners count is checked as the users count it.
 */
final class RetryBudgetSimulation {

  /** The users' figures. */
  static final RetryBudgetSettings SETTINGS = new RetryBudgetSettings(0.2, 54, 10_000);

  private static final String SERVICE = "s";
  private static final int TICK_MILLIS = 50;

  /** A process that has just started sees only itself for so long. */
  private static final int JOIN_MILLIS = 800;

  /** A host counts for another for so long after it was heard. */
  private static final long RETAIN_MILLIS = 20_000;

  /** From a host's decision to the runner's count. */
  private static final int MAX_DELAY_MILLIS = 30;

  private final Random random;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> arrivals = new ArrayList<>();
  private final Starter starter;
  private long now = 100_000;
  private long denied;

  /** Starts a process. */
  @FunctionalInterface
  interface Starter {
    SharedRetryBudget start(boolean first, long nowMillis);
  }

  private static final class Host {
    @Nullable SharedRetryBudget budget;
    long startedMillis;
    final Map<Host, Long> heardMillis = new HashMap<>();
    double requestsPerSecond;
    boolean isolated;
  }

  /**
   * Creates hosts whose first processes start now.
   *
   * @param starter starts a process of a host, the first one or a later one, at a moment
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

  /** Returns which part of the retries that were wanted was sent. */
  double servedFraction() {
    return (double) arrivals.size() / (arrivals.size() + denied);
  }

  /** Adds a host that cannot know whether it ran before. */
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
    hosts.get(host).heardMillis.clear();
  }

  void start(int host) {
    start(host, false);
  }

  private void start(int host, boolean first) {
    hosts.get(host).budget = starter.start(first, now);
    hosts.get(host).startedMillis = now;
  }

  /** From now on a host hears of no other, and none of it. */
  void isolate(int host, boolean isolated) {
    hosts.get(host).isolated = isolated;
  }

  /**
   * Lets time pass.
   *
   * @param failing the part of the requests whose first send fails; 1 for as many retries as may be
   */
  void advanceTime(long millis, double failing) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      for (Host host : hosts) {
        SharedRetryBudget budget = host.budget;
        if (budget != null) {
          tick(host, budget, failing);
        }
      }
    }
  }

  private void tick(Host host, SharedRetryBudget budget, double failing) {
    int seen = seen(host);
    int retries = 0;
    double expected = host.requestsPerSecond * TICK_MILLIS / 1_000;
    int arrived = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int request = 0; request < arrived; request++) {
      budget.recordRequest(SERVICE, now);
      requests.add(now);
      retries += random.nextDouble() < failing ? 1 : 0;
    }
    boolean greedy = failing >= 1;
    for (int retry = 0; greedy || retry < retries; retry++) {
      if (budget.tryAcquireRetry(SERVICE, seen, now)) {
        arrivals.add(now + random.nextInt(MAX_DELAY_MILLIS));
      } else if (greedy) {
        return;
      } else {
        denied++;
      }
    }
  }

  /** Returns how many hosts a host knows, itself included; 0 if it knows of no other. */
  private int seen(Host host) {
    int seen = 1;
    for (Host other : hosts) {
      boolean heard = other.budget != null && !host.isolated && !other.isolated;
      if (other != host && heard && now - host.startedMillis >= JOIN_MILLIS) {
        host.heardMillis.put(other, now);
      }
      seen += now - host.heardMillis.getOrDefault(other, -RETAIN_MILLIS) < RETAIN_MILLIS ? 1 : 0;
    }
    return seen == 1 && hosts.size() > 1 ? 0 : seen;
  }

  /** Returns by how much arrivals exceed what the users allow, in the worst window; 0 if none. */
  double worstExcess() {
    double worst = 0;
    for (long from : arrivals) {
      long inWindow = count(arrivals, from, from + SETTINGS.windowMillis());
      long asked =
          Math.max(
              count(requests, from, from + SETTINGS.windowMillis()),
              Math.max(
                  count(requests, from - SETTINGS.windowMillis(), from),
                  count(
                      requests,
                      from - SETTINGS.windowMillis() / 2,
                      from + SETTINGS.windowMillis() / 2)));
      worst = Math.max(worst, inWindow - SETTINGS.ratio() * asked - SETTINGS.allowance());
    }
    return worst;
  }

  private static long count(List<Long> times, long from, long to) {
    return times.stream().filter(at -> at >= from && at < to).count();
  }
}
