package org.sequoiahub.core.concurrency;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Issues permits to run calls at runners that fail when they refuse too many, to the hosts that
 * follow this one.
 *
 * <p>A permit is in use until its call has ended, which hosts state, or until its host is gone. Of
 * the demands for a runner the lowest priority value comes first, and of equal ones the host that
 * has waited longest.
 */
public final class RunPermitIssuer {

  /** How long a demand holds that is not repeated (ms). */
  private static final long DEMAND_TTL_MILLIS = 200;

  /** After this time a grant that its receiver has not acknowledged counts as lost (ms). */
  private static final long GRANT_LOST_MILLIS = 400;

  /** The calls of a host that is silent for this long count as ended (ms). */
  private static final long HOST_LOST_MILLIS = 3_000;

  /** How long the calls of a process that has been replaced may still run (ms). */
  private static final long REPLACED_CALLS_MILLIS = 500;

  /** The time that a call takes if none has ended yet (ms). */
  private static final double UNKNOWN_CALL_MILLIS = 200;

  /** Period after which the weight of earlier calls in the mean duration is halved (ms). */
  private static final long DURATION_HALF_LIFE_MILLIS = 1_000;

  /** How long the estimate of a runner without calls is kept (ms). */
  private static final long RETENTION_MILLIS = 60_000;

  /** Interval at which hosts with calls are told whether permits are reusable (ms). */
  private static final long NOTICE_PERIOD_MILLIS = 200;

  private static final Comparator<HostUse> URGENCY =
      Comparator.comparingInt((HostUse use) -> use.demands.firstKey())
          .thenComparingLong(use -> use.waitingSinceMillis);

  private final RefusalLimits limits;
  private final CapacityListener listener;
  private final Map<String, Host> hosts = new HashMap<>();
  private final Map<String, Runner> runners = new HashMap<>();

  /** The services whose runners refused a call though less than their slots were in use. */
  private final Set<String> servicesWithFewerSlots = new HashSet<>();

  private long grantNumber;

  /** A grant that its receiver has not acknowledged. */
  private record Unacknowledged(long number, long sentMillis, int permits) {}

  /** What one host has and wants at one runner. */
  private static final class HostUse {
    int held;
    long answered;
    long refused;
    final TreeMap<Integer, Integer> demands = new TreeMap<>();
    final Deque<Unacknowledged> grants = new ArrayDeque<>();

    /** All permits that the host knows of and those of grants under way. */
    long grantedTotal;

    long waitingSinceMillis;
    boolean toldReusable;
    long toldMillis = Long.MIN_VALUE / 2;

    int granted(long nowMillis) {
      while (!grants.isEmpty() && nowMillis - grants.element().sentMillis >= GRANT_LOST_MILLIS) {
        grantedTotal -= grants.remove().permits;
      }
      return grants.stream().mapToInt(Unacknowledged::permits).sum();
    }

    void takeDemand() {
      int priority = demands.firstKey();
      int left = demands.getOrDefault(priority, 0) - 1;
      if (left > 0) {
        demands.put(priority, left);
      } else {
        demands.remove(priority);
      }
    }
  }

  private static final class Host {
    long incarnation;
    long requestNumber;
    long receivedMillis;
    boolean replyDue;
    final Map<String, HostUse> uses = new HashMap<>();
  }

  private static final class Runner {
    final CapacityEstimate capacity;
    double busyMillis;
    double answers;
    long measuredMillis;
    long usedMillis;
    int replacedCalls;
    long replacedUntilMillis;

    Runner(long nowMillis) {
      capacity = new CapacityEstimate(nowMillis);
      measuredMillis = nowMillis;
      usedMillis = nowMillis;
    }

    void measure(int held, long nowMillis) {
      long elapsed = nowMillis - measuredMillis;
      if (elapsed > 0) {
        double weight = Math.pow(0.5, (double) elapsed / DURATION_HALF_LIFE_MILLIS);
        busyMillis = (busyMillis + (double) held * elapsed) * weight;
        answers *= weight;
        measuredMillis = nowMillis;
      }
    }

    double intervalMillis() {
      double callMillis = answers < 1 ? UNKNOWN_CALL_MILLIS : busyMillis / answers;
      return callMillis / capacity.capacity();
    }
  }

  /**
   * The reply to one host.
   *
   * @param number the number that the host acknowledges
   * @param answers the number of the host's request that it answers
   */
  public record HostGrants(long number, long answers, List<RunGrant> grants) {}

  /** Creates an issuer that knows of no call. */
  public RunPermitIssuer(RefusalLimits limits, CapacityListener listener) {
    this.limits = requireNonNull(limits, "limits must not be null");
    this.listener = requireNonNull(listener, "listener must not be null");
  }

  /** Returns whether no host has calls or waits for permits. */
  public boolean isIdle() {
    return hosts.isEmpty();
  }

  /**
   * Replaces what is known of a host's calls.
   *
   * @param incarnation identifies the host's process
   * @param number the number of the request; an older one than the last is ignored
   * @param acknowledged the number of the last grants that the host had received
   */
  public void receive(
      String host,
      long incarnation,
      long number,
      long acknowledged,
      Collection<HostCalls> calls,
      long nowMillis) {
    requireNonNull(host, "host must not be null");
    Host known = hosts.get(host);
    if (known != null && known.incarnation != incarnation) {
      keepReplacedCalls(known, nowMillis);
      known = null;
    }
    if (known == null) {
      known = new Host();
      known.incarnation = incarnation;
      hosts.put(host, known);
    } else if (number <= known.requestNumber) {
      return;
    }
    known.requestNumber = number;
    known.receivedMillis = nowMillis;
    known.replyDue = true;
    for (HostUse use : known.uses.values()) {
      use.held = 0;
      use.demands.clear();
      use.grants.removeIf(grant -> grant.number <= acknowledged);
    }
    for (HostCalls stated : calls) {
      apply(known, stated, nowMillis);
    }
  }

  private void keepReplacedCalls(Host host, long nowMillis) {
    host.uses.forEach(
        (key, use) -> {
          Runner runner = runners.get(key);
          if (runner != null) {
            runner.replacedCalls = use.held;
            runner.replacedUntilMillis = nowMillis + REPLACED_CALLS_MILLIS;
          }
        });
  }

  private void apply(Host host, HostCalls stated, long nowMillis) {
    String key = stated.runner();
    Runner runner = runners.computeIfAbsent(key, id -> new Runner(nowMillis));
    runner.usedMillis = nowMillis;
    final boolean first = !host.uses.containsKey(key);
    HostUse use = host.uses.computeIfAbsent(key, id -> new HostUse());
    final long answered = first ? 0 : Math.max(0, stated.answered() - use.answered);
    final int refused = first ? 0 : (int) Math.max(0, stated.refused() - use.refused);
    use.answered = stated.answered();
    use.refused = stated.refused();
    use.held = stated.held();
    use.demands.putAll(stated.demands());
    int underWay = use.granted(nowMillis);
    use.grantedTotal = stated.granted() + underWay;
    while (underWay-- > 0 && !use.demands.isEmpty()) {
      use.takeDemand();
    }
    if (use.demands.isEmpty()) {
      use.waitingSinceMillis = 0;
    } else if (use.waitingSinceMillis == 0) {
      use.waitingSinceMillis = nowMillis;
    }
    int held = held(key, nowMillis);
    runner.measure(held, nowMillis);
    runner.answers += answered;
    if (answered > refused) {
      runner.capacity.recordAnswers();
    }
    if (refused > 0) {
      recordRefusals(key, runner, refused, held + refused, nowMillis);
    }
    runner.capacity.recordHeld(held, nowMillis);
  }

  private void recordRefusals(String key, Runner runner, int count, int held, long nowMillis) {
    if (held <= limits.slots(key)) {
      servicesWithFewerSlots.add(limits.service(key));
    }
    int before = runner.capacity.capacity();
    runner.capacity.recordRefusals(count, held, nowMillis);
    int after = runner.capacity.capacity();
    if (after < before) {
      listener.capacityReduced(
          key,
          before,
          after,
          held,
          runner.capacity.recentRefusals(nowMillis),
          limits.perSecond(key),
          nowMillis);
    }
  }

  /** Returns the calls and unused permits of all hosts at a runner. */
  private int held(String key, long nowMillis) {
    int held = 0;
    for (Host host : hosts.values()) {
      HostUse use = host.uses.get(key);
      held += use == null ? 0 : use.held + use.granted(nowMillis);
    }
    Runner runner = runners.get(key);
    return runner != null && nowMillis < runner.replacedUntilMillis
        ? held + runner.replacedCalls
        : held;
  }

  /**
   * Issues the permits that are free and returns the replies to send, by host.
   *
   * @param share the part of every capacity that this host may issue, from 0 to 1
   */
  public Map<String, HostGrants> issue(double share, long nowMillis) {
    checkArgument(share >= 0 && share <= 1, "share must be from 0 to 1, was %s", share);
    hosts.values().removeIf(host -> nowMillis - host.receivedMillis >= HOST_LOST_MILLIS);
    runners.values().removeIf(runner -> nowMillis - runner.usedMillis >= RETENTION_MILLIS);
    Map<String, Map<String, Integer>> granted = new HashMap<>();
    Map<String, Integer> heldByRunner = new HashMap<>();
    runners.forEach(
        (key, runner) -> {
          int held = held(key, nowMillis);
          runner.measure(held, nowMillis);
          double perSecond = limits.perSecond(key);
          int safeCapacity =
              servicesWithFewerSlots.contains(limits.service(key)) ? 0 : limits.slots(key);
          boolean free = true;
          while (free) {
            String host = nextHost(key, nowMillis);
            free =
                host != null
                    && runner.capacity.issuable(held, share, perSecond, safeCapacity, nowMillis)
                        > 0;
            if (host != null && free) {
              granted.computeIfAbsent(host, h -> new HashMap<>()).merge(key, 1, Integer::sum);
              take(host, key, nowMillis);
              runner.capacity.recordIssued(held, share, nowMillis);
              held++;
            }
          }
          heldByRunner.put(key, held);
        });
    return replies(granted, heldByRunner, share, nowMillis);
  }

  private void take(String host, String key, long nowMillis) {
    Host state = hosts.get(host);
    HostUse use = state == null ? null : state.uses.get(key);
    if (use != null) {
      use.takeDemand();
      use.waitingSinceMillis = use.demands.isEmpty() ? 0 : nowMillis;
    }
  }

  /** Returns the host with the most urgent demand for a runner; null if there is none. */
  private @Nullable String nextHost(String key, long nowMillis) {
    String best = null;
    HostUse bestUse = null;
    for (Map.Entry<String, Host> entry : hosts.entrySet()) {
      HostUse use = entry.getValue().uses.get(key);
      boolean current = nowMillis - entry.getValue().receivedMillis < DEMAND_TTL_MILLIS;
      if (current
          && use != null
          && !use.demands.isEmpty()
          && (bestUse == null || URGENCY.compare(use, bestUse) < 0)) {
        best = entry.getKey();
        bestUse = use;
      }
    }
    return best;
  }

  private Map<String, HostGrants> replies(
      Map<String, Map<String, Integer>> granted,
      Map<String, Integer> heldByRunner,
      double share,
      long nowMillis) {
    Map<String, HostGrants> replies = new HashMap<>();
    hosts.forEach(
        (name, host) -> {
          Map<String, Integer> permits = granted.getOrDefault(name, Map.of());
          long number = grantNumber + 1;
          List<RunGrant> grants = new ArrayList<>();
          host.uses.forEach(
              (key, use) -> {
                Runner runner = runners.get(key);
                int held = heldByRunner.getOrDefault(key, 0);
                if (runner == null) {
                  return;
                }
                int count = permits.getOrDefault(key, 0);
                boolean reusable =
                    runner.capacity.isReusable(
                        held, share, limits.perSecond(key), runner.intervalMillis(), nowMillis);
                boolean waits = host.replyDue && (!use.demands.isEmpty() || !use.grants.isEmpty());
                boolean revoked = use.toldReusable && !reusable;
                boolean due =
                    use.held > 0
                        && (revoked
                            || (reusable && nowMillis - use.toldMillis >= NOTICE_PERIOD_MILLIS));
                if (count > 0 || waits || due) {
                  use.toldReusable = reusable;
                  use.toldMillis = nowMillis;
                  if (count > 0) {
                    use.grantedTotal += count;
                    use.grants.add(new Unacknowledged(number, nowMillis, count));
                  }
                  grants.add(
                      new RunGrant(
                          key,
                          use.grantedTotal,
                          waitMillis(key, runner, nowMillis),
                          (long) Math.ceil(runner.intervalMillis()),
                          reusable,
                          runner.capacity.capacity(),
                          held));
                }
              });
          host.replyDue = false;
          if (!grants.isEmpty()) {
            grantNumber = number;
            replies.put(name, new HostGrants(number, host.requestNumber, grants));
          }
        });
    return replies;
  }

  private long waitMillis(String key, Runner runner, long nowMillis) {
    long waiting = 0;
    for (Host host : hosts.values()) {
      HostUse use = host.uses.get(key);
      if (use != null && nowMillis - host.receivedMillis < DEMAND_TTL_MILLIS) {
        waiting += use.demands.values().stream().mapToInt(Integer::intValue).sum();
      }
    }
    return (long) (waiting * runner.intervalMillis());
  }
}
