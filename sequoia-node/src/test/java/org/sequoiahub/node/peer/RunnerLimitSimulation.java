package org.sequoiahub.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.dispatch.Candidate;
import org.sequoiahub.core.dispatch.PlacementSettings;
import org.sequoiahub.core.dispatch.ServicePlacement;
import org.sequoiahub.core.ratelimit.StatedLimit;
import org.sequoiahub.core.runnerstate.CallKind;
import org.sequoiahub.core.runnerstate.RunnerSignals;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.runnerstate.RunnerStates;

/**
 * Simulates, in virtual time, hosts that place the requests of one service on its runners, some of
 * which state that they leave, want a backoff or take a limited rate of calls. {@link
 * RunnerLimitObserver} and {@link RunnerStatementObserver} count the calls at the runners; they
 * share no code with the decision.
 */
final class RunnerLimitSimulation {

  static final long TARGET_MILLIS = 1_000;
  static final long DEADLINE_MILLIS = 6_000;
  private static final int STEP_MILLIS = 10;
  private static final int SERVICE_MILLIS = 100;
  private static final int MAX_TRANSIT_MILLIS = 12;
  private static final long PLACEMENT_PERIOD_MILLIS = 30;
  private static final int SLOTS = 2;

  final PeerSimulation peers;
  final RunnerLimitObserver observer = new RunnerLimitObserver();
  final RunnerStatementObserver statements = new RunnerStatementObserver();
  private final Random random;
  private final LimitPolicy policy;
  private final ServicePlacement placement = new ServicePlacement(PlacementSettings.DEFAULT);
  private final List<RunnerEntry> runners = new ArrayList<>();
  private final Map<String, Double> limits = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();

  /** The runners that refuse all calls, and the backoff that they state (ms). */
  private final Map<String, Long> backoffs = new HashMap<>();

  private final Map<PeerSimulation.Host, List<Request>> waiting = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long eventCount;
  private double pendingRequests;
  private double pendingOrders;
  private int holderCalls;

  private double largestShareSum;
  private int cutHost = -1;
  private long cutMillis;

  int inTime;
  int late;
  int refused;
  private long waitedMillis;
  private long refusedAfterMillis;

  /** Decides whether a host may send a call to a runner now. */
  interface LimitPolicy {
    /** Returns the expected wait (ms), 0 if the call may be sent now. */
    long waitMillis(
        PeerSimulation peers, PeerSimulation.Host host, String runner, Object call, int priority);

    /** Takes the right to send the call now, or requests it. */
    boolean tryAcquire(
        PeerSimulation peers, PeerSimulation.Host host, String runner, Object call, int priority);

    /** Decides on a request; a policy for limits alone only knows of a wait. */
    default SendDecision decide(
        PeerSimulation peers, PeerSimulation.Host host, String runner, Object call, int priority) {
      long waitMillis = waitMillis(peers, host, runner, call, priority);
      return waitMillis > 0
          ? new SendDecision.NotBefore(waitMillis, SendDecision.Reason.RATE_LIMIT)
          : new SendDecision.Now();
    }
  }

  /** The policy of the product. */
  static final LimitPolicy PERMITS =
      new LimitPolicy() {
        @Override
        public long waitMillis(
            PeerSimulation peers,
            PeerSimulation.Host host,
            String runner,
            Object call,
            int priority) {
          return host.runnerStates.permits().waitMillis(runner, call, priority, 1, peers.now());
        }

        @Override
        public boolean tryAcquire(
            PeerSimulation peers,
            PeerSimulation.Host host,
            String runner,
            Object call,
            int priority) {
          return host.runnerStates.tryAcquire(runner, call, priority, peers.now());
        }

        @Override
        public SendDecision decide(
            PeerSimulation peers,
            PeerSimulation.Host host,
            String runner,
            Object call,
            int priority) {
          return host.runnerStates
              .availability()
              .decideRequest(runner, call, priority, 1, peers.now());
        }
      };

  /** Identifies a request by itself. */
  private static final class Request {
    final long arrivedMillis;
    final int priority;
    @Nullable RunnerEntry waitingAt;
    long placeMillis;
    final Set<String> failedAt = new HashSet<>();

    Request(long arrivedMillis, int priority) {
      this.arrivedMillis = arrivedMillis;
      this.priority = priority;
    }
  }

  private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  RunnerLimitSimulation(long seed, int hosts, int runnerCount, LimitPolicy policy) {
    this.peers = new PeerSimulation(seed, hosts, 4);
    this.random = new Random(seed);
    this.policy = policy;
    for (int number = 0; number < runnerCount; number++) {
      runners.add(
          new RunnerEntry(
              RunnerIncarnation.of("i-" + number),
              0,
              "s",
              SoftwareVersion.of("v1"),
              "10.0.0." + number + ":80",
              "z" + number % 4,
              SLOTS,
              false,
              -1,
              0,
              Set.of(),
              Map.of()));
    }
  }

  /** A runner states another limit from now on; none if it is negative. */
  void state(int runner, double perSecond) {
    String id = runners.get(runner).id();
    if (perSecond < 0) {
      limits.remove(id);
    } else {
      limits.put(id, perSecond);
    }
    observer.limitStated(id, perSecond, peers.now());
  }

  /** A runner states from now on that it leaves; it continues to serve. */
  void stateLeaving(int runner) {
    leaving.add(runnerId(runner));
  }

  /** A runner refuses all calls from now on and states a backoff; 0 ends this. */
  void stateBackoff(int runner, long millis) {
    if (millis > 0) {
      backoffs.put(runnerId(runner), millis);
    } else {
      backoffs.remove(runnerId(runner));
    }
  }

  /** Returns the limit that a runner states; negative if none. */
  double stated(int runner) {
    return limits.getOrDefault(runners.get(runner).id(), -1.0);
  }

  String runnerId(int runner) {
    return runners.get(runner).id();
  }

  /** Restarts a host; its waiting requests are lost. */
  void restart(int number) {
    PeerSimulation.@Nullable Host host = peers.host(number);
    if (host != null) {
      waiting.remove(host);
    }
    peers.start(number);
    observer.excuse(number, peers.now(), peers.now());
    statements.excuse(number, peers.now(), peers.now());
  }

  /** Suspends a host's process. */
  void freeze(int number, long millis) {
    peers.freeze(number, peers.now() + millis);
    observer.excuse(number, peers.now(), peers.now() + millis);
    statements.excuse(number, peers.now(), peers.now() + millis);
  }

  /** Cuts a host off in one direction or in both, until {@link #heal}. */
  void cut(int number, boolean outgoing, boolean incoming) {
    peers.cut((from, to) -> (outgoing && from == number) || (incoming && to == number));
    cutHost = number;
    cutMillis = peers.now();
  }

  /** Ends the cut, if there is one. */
  void heal() {
    peers.cut((from, to) -> false);
    if (cutHost >= 0) {
      observer.excuse(cutHost, cutMillis, peers.now());
      statements.excuse(cutHost, cutMillis, peers.now());
      cutHost = -1;
    }
  }

  void kill(int number) {
    PeerSimulation.@Nullable Host host = peers.host(number);
    if (host != null) {
      waiting.remove(host);
      peers.kill(number);
      observer.excuse(number, peers.now(), peers.now());
      statements.excuse(number, peers.now(), peers.now());
    }
  }

  /** Advances the time while callers send requests to hosts drawn at random. */
  void offerLoad(long millis, double perSecond) {
    offerLoad(millis, perSecond, -1, 0);
  }

  /**
   * Advances the time while callers send requests.
   *
   * @param at the host that receives them; negative for hosts drawn at random
   * @param ordersPerSecond how many orders each runner's holder wants to send
   */
  void offerLoad(long millis, double perSecond, int at, double ordersPerSecond) {
    for (long end = peers.now() + millis; peers.now() < end; ) {
      pendingRequests += perSecond * STEP_MILLIS / 1_000;
      while (pendingRequests >= random.nextDouble() * 2) {
        pendingRequests--;
        arrive(at < 0 ? random.nextInt(peers.size()) : at);
      }
      pendingOrders += ordersPerSecond * runners.size() * STEP_MILLIS / 1_000;
      while (pendingOrders >= 1) {
        pendingOrders--;
        order(random.nextInt(runners.size()));
      }
      step();
    }
  }

  /** A request arrives at each running host at once. */
  void burst(int requestsPerHost) {
    for (PeerSimulation.Host host : peers.running()) {
      for (int i = 0; i < requestsPerHost; i++) {
        arrive(host.number);
      }
    }
  }

  private void arrive(int number) {
    PeerSimulation.@Nullable Host host = peers.host(number);
    if (host == null || peers.isFrozen(number)) {
      return;
    }
    host.permitsListener = changed -> permitsReceived(host, changed);
    Request request = new Request(peers.now(), random.nextInt(3));
    place(host, request);
  }

  private void order(int runner) {
    int holder = runner % peers.size();
    PeerSimulation.@Nullable Host host = peers.host(holder);
    if (host != null && !peers.isFrozen(holder)) {
      String id = runners.get(runner).id();
      boolean report = holderCalls++ % 2 == 1 && !(leaving.isEmpty() && backoffs.isEmpty());
      CallKind kind = report ? CallKind.REPORT : CallKind.ORDER;
      boolean acquired =
          policy == PERMITS
              ? host.runnerStates.tryAcquireForHolder(id, kind, peers.now())
              : policy.tryAcquire(peers, host, id, "order " + id, 12);
      if (acquired) {
        reach(host, runners.get(runner), null);
      }
    }
  }

  private void step() {
    while (!events.isEmpty() && events.peek().atMillis <= peers.now()) {
      events.remove().action.run();
    }
    for (PeerSimulation.Host host : peers.running()) {
      if (!peers.isFrozen(host.number)) {
        for (Request request : List.copyOf(waiting.getOrDefault(host, List.of()))) {
          if (peers.now() >= request.placeMillis) {
            place(host, request);
          }
        }
      }
    }
    peers.advance(STEP_MILLIS);
    double shares = 0;
    for (PeerSimulation.Host host : peers.running()) {
      shares += peers.isFrozen(host.number) ? 0 : host.permits.share(peers.now());
    }
    largestShareSum = Math.max(largestShareSum, shares);
  }

  /** Returns the largest sum, at any time, of the parts of the limits that hosts could issue. */
  double largestShareSum() {
    return largestShareSum;
  }

  private void permitsReceived(PeerSimulation.Host host, Set<String> changed) {
    waiting.getOrDefault(host, List.of()).stream()
        .filter(r -> r.waitingAt != null && changed.contains(r.waitingAt.id()))
        .sorted((a, b) -> Integer.compare(priority(a), priority(b)))
        .toList()
        .forEach(request -> place(host, request));
  }

  private int priority(Request request) {
    return RunnerStates.permitPriority(
        request.priority, peers.now() < request.arrivedMillis + TARGET_MILLIS);
  }

  private void refuse(PeerSimulation.Host host, Request request) {
    waiting.getOrDefault(host, new ArrayList<>()).remove(request);
    host.runnerStates.permits().withdraw(request);
    refused++;
    refusedAfterMillis += peers.now() - request.arrivedMillis;
  }

  private void place(PeerSimulation.Host host, Request request) {
    long now = peers.now();
    List<Candidate> candidates = new ArrayList<>();
    List<Candidate> lastResorts = new ArrayList<>();
    for (RunnerEntry runner : runners) {
      SendDecision decision = policy.decide(peers, host, runner.id(), request, priority(request));
      if (decision instanceof SendDecision.Never || request.failedAt.contains(runner.id())) {
        continue;
      }
      (decision instanceof SendDecision.LastResort ? lastResorts : candidates)
          .add(
              new Candidate(
                  runner,
                  host.loads.requests(runner.id(), now),
                  0,
                  0,
                  0,
                  0,
                  decision,
                  false,
                  0,
                  true,
                  true,
                  true,
                  0,
                  SERVICE_MILLIS,
                  false,
                  true));
    }
    long timeToTarget = Math.max(0, request.arrivedMillis + TARGET_MILLIS - now);
    if (candidates.stream().noneMatch(c -> c.sendWaitMillis() <= timeToTarget)) {
      candidates.addAll(lastResorts);
    }
    if (candidates.isEmpty()) {
      refuse(host, request);
      return;
    }
    Candidate chosen =
        placement
            .choose(
                candidates,
                request.waitingAt == null ? "" : request.waitingAt.id(),
                random.nextDouble())
            .orElseThrow();
    String id = chosen.runner().id();
    List<Request> queue = waiting.computeIfAbsent(host, h -> new ArrayList<>());
    boolean tooLate =
        host.runnerStates
            .availability()
            .isTooLate(
                id,
                chosen.sendDecision(),
                request.arrivedMillis + TARGET_MILLIS,
                request.arrivedMillis + DEADLINE_MILLIS,
                now);
    if (tooLate) {
      refuse(host, request);
    } else if (policy.tryAcquire(peers, host, id, request, priority(request))) {
      queue.remove(request);
      reach(host, chosen.runner(), request);
    } else {
      if (!queue.contains(request)) {
        queue.add(request);
      }
      request.waitingAt = chosen.runner();
      request.placeMillis = now + PLACEMENT_PERIOD_MILLIS;
    }
  }

  /** Sends a call to a runner; its response states the limit of the time at which it is written. */
  private void reach(PeerSimulation.Host host, RunnerEntry runner, @Nullable Request request) {
    long sent = peers.now();
    host.runnerStates.recordSent(
        runner.id(), request == null ? CallKind.ORDER : CallKind.REQUEST, sent);
    host.loads.add(runner.id(), 1, 0, 0, "");
    long arrives = sent + 1 + random.nextInt(MAX_TRANSIT_MILLIS);
    schedule(
        arrives,
        () -> {
          observer.arrived(runner.id(), host.number, arrives);
          statements.arrived(runner.id(), host.number, arrives);
          boolean refuses = backoffs.containsKey(runner.id());
          long written = arrives + (request == null || refuses ? 1 : SERVICE_MILLIS);
          schedule(written, () -> respond(host, runner, request, refuses, sent));
        });
  }

  private void respond(
      PeerSimulation.Host host,
      RunnerEntry runner,
      @Nullable Request request,
      boolean refuses,
      long sent) {
    double perSecond = limits.getOrDefault(runner.id(), -1.0);
    StatedLimit stated = perSecond < 0 ? new StatedLimit.None() : new StatedLimit.Rate(perSecond);
    boolean leaves = leaving.contains(runner.id());
    long backoff = refuses ? backoffs.getOrDefault(runner.id(), 0L) : 0;
    RunnerSignals signals = new RunnerSignals(leaves, backoff, stated, List.of());
    scheduleAt(
        host,
        peers.now() + 1 + random.nextInt(MAX_TRANSIT_MILLIS),
        () -> {
          if (peers.host(host.number) != host) {
            return;
          }
          long now = peers.now();
          if (perSecond >= 0) {
            observer.told(runner.id(), host.number, now);
          }
          if (leaves) {
            statements.toldLeaving(runner.id(), host.number, now);
          }
          if (backoff > 0) {
            statements.toldBackoff(runner.id(), host.number, now, now + backoff);
          }
          host.loads.add(runner.id(), -1, 0, 0, "");
          if (request == null) {
            host.runnerStates.replyReceived(runner.id(), signals, now);
          } else {
            host.runnerStates.responseReceived(runner.id(), signals, sent, now);
            if (refuses) {
              retry(host, runner, request, backoff > 0);
              return;
            }
            long took = now - request.arrivedMillis;
            waitedMillis += sent - request.arrivedMillis;
            if (took <= TARGET_MILLIS) {
              inTime++;
            } else {
              late++;
            }
          }
        });
  }

  /** Offers a refused request again; a runner that stated no backoff does not get it again. */
  private void retry(
      PeerSimulation.Host host, RunnerEntry runner, Request request, boolean statedBackoff) {
    if (!statedBackoff) {
      request.failedAt.add(runner.id());
    }
    place(host, request);
  }

  /** Schedules an action of a host, which takes place after its suspension if it is frozen then. */
  private void scheduleAt(PeerSimulation.Host host, long atMillis, Runnable action) {
    schedule(
        atMillis,
        () -> {
          if (peers.isFrozen(host.number)) {
            scheduleAt(host, peers.now() + STEP_MILLIS, action);
          } else {
            action.run();
          }
        });
  }

  private void schedule(long atMillis, Runnable action) {
    events.add(new Event(atMillis, eventCount++, action));
  }

  /** Restarts the counts of answers. */
  void countFromNow() {
    inTime = 0;
    late = 0;
    refused = 0;
    waitedMillis = 0;
    refusedAfterMillis = 0;
  }

  /**
   * Returns the calls to all limited runners since a time, as a part of what their limits allow.
   */
  double usedShare(long fromMillis) {
    double allowed = 0;
    long calls = 0;
    for (Map.Entry<String, Double> limit : limits.entrySet()) {
      allowed += limit.getValue() * (peers.now() - fromMillis) / 1_000;
      calls += observer.calls(limit.getKey(), fromMillis, peers.now());
    }
    return calls / allowed;
  }

  /** Returns the mean time that a served request waited before it was sent (ms). */
  double meanWaitMillis() {
    return (double) waitedMillis / Math.max(1, inTime + late);
  }

  /** Returns the mean time after which a request was refused (ms). */
  double meanRefusalMillis() {
    return (double) refusedAfterMillis / Math.max(1, refused);
  }

  /** Returns how many hosts, among those that run, know a limit of a runner. */
  long hostsThatKnow(int runner) {
    return peers.running().stream()
        .filter(host -> host.runnerStates.limits().isLimited(runnerId(runner)))
        .count();
  }

  /** Returns the host with this number, which must be running. */
  PeerSimulation.Host host(int number) {
    return Objects.requireNonNull(peers.host(number));
  }
}
