package org.sequoiahub.node.holder;

import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.holding.Order;
import org.sequoiahub.core.holding.OrderReply;
import org.sequoiahub.core.holding.ReportReply;
import org.sequoiahub.core.holding.RunnerOrders;
import org.sequoiahub.core.holding.RunnerReport;
import org.sequoiahub.core.member.MemberSettings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.quarantine.LoadGuard;
import org.sequoiahub.core.quarantine.QuarantineSettings;
import org.sequoiahub.core.quarantine.RequestQuarantine;
import org.sequoiahub.core.quarantine.RunnerTermination;
import org.sequoiahub.core.quarantine.RunnerTerminationListener;
import org.sequoiahub.core.routing.EngineSpec;
import org.sequoiahub.core.routing.ModelSpec;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerIncarnation;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.SimulatedHosts;
import org.sequoiahub.node.peer.FleetTopology;
import org.sequoiahub.node.peer.PeerHeartbeats;
import org.sequoiahub.node.peer.StateCodec;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.usersplatform.HostSettings;

/**
 * Simulates hosts that send orders to runners, in virtual time, with pauses, disconnections, kills,
 * shutdowns and lost or delayed messages.
 *
 * <p>The simulated runners assert that the orders of two hosts are at least the lease time apart,
 * that tokens grow from holder to holder, and that no runner is ordered to hold more adapters than
 * it has places.
 */
final class HolderSimulation {

  /** Ignores terminations: no simulated runner terminates because of a load. */
  private static final RunnerTerminationListener NO_OP_LISTENER =
      new RunnerTerminationListener() {
        @Override
        public void onTermination(RunnerTermination end, long nowMillis) {}

        @Override
        public void onCleared(long request, long atMillis, long nowMillis) {}
      };

  static final int HOSTS = 5;
  static final int RUNNERS = 3;
  private static final long LEASE_MILLIS = 3_000;

  /** Time after a pause or disconnection in which a host's orders are not checked (ms). */
  private static final long RECOVERY_MILLIS = 300;

  private static final long TICK_MILLIS = 10;
  private static final int MAX_DELAY_MILLIS = 25;
  private static final EngineSpec ENGINE =
      new EngineSpec(8, 10_000, 1_000, 4, 3, 4, List.of(new ModelSpec("m", 800, 10, 500)));

  private final Random random;
  private final List<Host> hosts = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Set<Integer> disconnected = new HashSet<>();
  private final Set<Integer> muted = new HashSet<>();

  /** The hosts that have lost their path to the runners, and know it. */
  private final Set<Integer> unreachable = new HashSet<>();

  /** The hosts that do not state that they ask a lease committee. */
  private final Set<Integer> earlierReleases = new HashSet<>();

  /** The number of claims that each host received. */
  private final Map<Integer, Integer> claimsReceived = new HashMap<>();

  private long now = 1_000_000;
  private final List<Digest> digests = new ArrayList<>();
  private boolean collectsDigests;
  private long eventNumber;
  private int orderCount;

  private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  HolderSimulation(long seed, boolean firstStart) {
    this(seed, firstStart, HOSTS);
  }

  HolderSimulation(long seed, boolean firstStart, int hostCount) {
    this.random = new Random(seed);
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(new Runner("i-" + i, "10.0.9." + i + ":80"));
    }
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(i));
      hosts.get(i).start(firstStart);
    }
  }

  /** Lets time pass, and returns the number of orders that the runners received meanwhile. */
  int ordersWithin(long millis) {
    int before = orderCount;
    advanceTime(millis);
    return orderCount - before;
  }

  /** From now on a host states what one of an earlier release does. */
  void runEarlierRelease(int host) {
    earlierReleases.add(host);
  }

  /** Returns how many claims each host receives while time passes; hosts without any are absent. */
  Map<Integer, Integer> claimsWithin(long millis) {
    claimsReceived.clear();
    advanceTime(millis);
    return Map.copyOf(claimsReceived);
  }

  /** Returns the id of a runner. */
  String runnerId(int runner) {
    return runners.get(runner).entry.id();
  }

  /** Requests a runner's holdings from its holder for a host; returns the digests received. */
  List<Digest> requestHoldings(int waitingHost, int runner) {
    digests.clear();
    collectsDigests = true;
    for (Host host : hosts) {
      HolderService service = host.service;
      if (service != null && service.orderedRunners(now).contains(runnerId(runner))) {
        service.sendHoldings("10.0.0." + waitingHost, Set.of(runnerId(runner)), now);
      }
    }
    advanceTime(2 * MAX_DELAY_MILLIS);
    collectsDigests = false;
    return List.copyOf(digests);
  }

  void advanceTime(long millis) {
    long end = now + millis;
    while (now < end) {
      now += TICK_MILLIS;
      while (!events.isEmpty() && events.peek().atMillis <= now) {
        events.poll().action.run();
      }
      hosts.forEach(Host::tick);
    }
  }

  /** Pauses a host; messages that arrive meanwhile are queued. */
  void pause(int host) {
    hosts.get(host).paused = true;
  }

  void resume(int host) {
    Host resumed = hosts.get(host);
    if (resumed.paused) {
      resumed.paused = false;
      resumed.recoveredMillis = now;
      List<Runnable> queued = List.copyOf(resumed.inbox);
      resumed.inbox.clear();
      queued.forEach(Runnable::run);
    }
  }

  /** Returns the numbers of the hosts that hold or claim the lease of any runner. */
  Set<Integer> claimingHosts() {
    Set<Integer> claiming = new HashSet<>();
    for (Host host : hosts) {
      if (host.service != null && host.service.isActive()) {
        claiming.add(host.number);
      }
    }
    return claiming;
  }

  /** Loses all messages that a host sends to the other hosts; it still receives theirs. */
  void muteHost(int host) {
    muted.add(host);
  }

  void unmuteHost(int host) {
    if (muted.remove(host)) {
      hosts.get(host).recoveredMillis = now;
    }
  }

  /** Disconnects a host from the other hosts; it still reaches the runners. */
  void disconnect(int host) {
    disconnected.add(host);
  }

  void reconnect(int host) {
    if (disconnected.remove(host)) {
      hosts.get(host).recoveredMillis = now;
    }
  }

  /** Cuts a host's links to the runners; the other hosts still reach it. */
  void cutFromRunners(int host) {
    unreachable.add(host);
  }

  void restoreLinksToRunners(int host) {
    if (unreachable.remove(host)) {
      hosts.get(host).recoveredMillis = now;
    }
  }

  /** Returns the numbers of the hosts that order a runner now. */
  Set<Integer> orderingHosts() {
    Set<Integer> ordering = new HashSet<>();
    for (Host host : hosts) {
      if (host.service != null && !host.service.orderedRunners(now).isEmpty()) {
        ordering.add(host.number);
      }
    }
    return ordering;
  }

  void kill(int host) {
    Host killed = hosts.get(host);
    killed.generation++;
    killed.service = null;
    // The restart may come before a lease expires: the granter must not grant it to another host.
    schedule(40 + random.nextInt(1_260), () -> killed.start(false));
  }

  void shutDown(int host) {
    Host leaving = hosts.get(host);
    if (leaving.service != null && !leaving.paused) {
      leaving.leaving = true;
      leaving.service.stop();
      leaving.heartbeats.sendToAll(now);
      int generation = leaving.generation;
      schedule(
          3_000,
          () -> {
            if (leaving.generation == generation) {
              kill(host);
            }
          });
    }
  }

  void killAll() {
    for (int host = 0; host < hosts.size(); host++) {
      kill(host);
    }
  }

  /** Replaces a runner by a new one at the same or another address. */
  void restartRunner(int runner, boolean sameAddress) {
    Runner old = runners.get(runner);
    String address = sameAddress ? old.entry.address() : "10.0.8." + random.nextInt(250) + ":80";
    runners.set(runner, new Runner("i-" + runner + "-" + random.nextInt(), address));
  }

  /** Restarts a runner with the same id; its last holder and last order are still checked. */
  void restartRunnerWithSameId(int runner) {
    Runner old = runners.get(runner);
    Runner restarted =
        new Runner(
            new RunnerIncarnation(old.entry.instance(), 1_000_000 + now), old.entry.address());
    restarted.lastHolder = old.lastHolder;
    restarted.lastOrderMillis = old.lastOrderMillis;
    restarted.lastToken = old.lastToken;
    runners.set(runner, restarted);
  }

  private void schedule(long millis, Runnable action) {
    events.add(new Event(now + millis, eventNumber++, action));
  }

  private long randomDelayMillis() {
    return 1 + random.nextInt(MAX_DELAY_MILLIS);
  }

  /** One incarnation of a runner, which records its last holder, order time and token. */
  private final class Runner {
    final RunnerEntry entry;
    long sequence;
    @Nullable String lastHolder;
    long lastOrderMillis;
    long lastToken;
    final Set<String> heldAdapters = new HashSet<>();

    Runner(String id, String address) {
      this(RunnerIncarnation.of(id), address);
    }

    Runner(RunnerIncarnation incarnation, String address) {
      this.entry =
          new RunnerEntry(
              incarnation,
              0,
              "llm",
              SoftwareVersion.of("v1"),
              address,
              "z",
              8,
              false,
              -1,
              0,
              Set.of("m"),
              Map.of());
    }

    OrderReply order(Host from, Order order, long expected, String holder, long token) {
      orderCount++;
      boolean recovering = now - from.recoveredMillis < RECOVERY_MILLIS;
      if (!recovering) {
        if (lastHolder != null && !lastHolder.equals(holder)) {
          assertWithMessage(
                  "milliseconds between orders: %s sent one to %s after %s",
                  holder, entry.id(), lastHolder)
              .that(now - lastOrderMillis)
              .isAtLeast(LEASE_MILLIS);
          assertWithMessage("token of %s, the holder after %s", holder, lastHolder)
              .that(token)
              .isGreaterThan(lastToken);
        }
        assertWithMessage("token of %s", holder).that(token).isAtLeast(lastToken);
        lastHolder = holder;
        lastOrderMillis = now;
        lastToken = token;
      }
      if (expected != sequence) {
        return OrderReply.CONFLICT;
      }
      sequence++;
      if (order.operation() == Order.Operation.LOAD) {
        heldAdapters.add(order.target());
        assertWithMessage("number of adapters ordered to %s", entry.id())
            .that(heldAdapters.size())
            .isAtMost(4);
        return OrderReply.ACCEPTED;
      }
      heldAdapters.remove(order.target());
      return OrderReply.DONE;
    }
  }

  private final class Host implements RunnerOrders {
    final int number;
    final List<Runnable> inbox = new ArrayList<>();
    boolean paused;
    boolean leaving;
    int generation;

    /** When the host was last resumed or reconnected (ms). */
    long recoveredMillis = Long.MIN_VALUE / 2;

    private Members<HostState> members = new Members<>("", MemberSettings.DEFAULT);
    private Holdings holdings = new Holdings();
    private @Nullable HolderService service;
    private RunnerStates runnerStates = newRunnerStates(false);
    private FleetTopology shape = new FleetTopology(settings(false), members);
    private PeerHeartbeats heartbeats = newHeartbeats(0);

    Host(int number) {
      this.number = number;
    }

    private HostSettings settings(boolean firstStart) {
      return SimulatedHosts.settings(
          "host-" + number,
          "z",
          "10.0.0." + number,
          List.of("10.0.0.0", "10.0.0.1", "10.0.0.2"),
          firstStart,
          100);
    }

    private RunnerStates newRunnerStates(boolean firstStart) {
      return new RunnerStates(
          settings(firstStart),
          now,
          now,
          key -> Optional.empty(),
          () -> {},
          new MetricRegistry(),
          new EventLog("test", "host-" + number));
    }

    private PeerHeartbeats newHeartbeats(long incarnation) {
      return new PeerHeartbeats(
          settings(false),
          incarnation,
          members,
          shape,
          new FleetLoad(),
          holdings,
          new FleetSpending(8_000),
          runnerStates,
          this::send,
          this::newState,
          (from, state) -> StateCodec.decodeHoldings(from, state, now).forEach(holdings::update),
          (from, state) -> {},
          (digest, nowMillis) -> {},
          random,
          new EventLog("test", "host-" + number));
    }

    void start(boolean firstStart) {
      members = new Members<>("host-" + number, MemberSettings.DEFAULT);
      holdings = new Holdings();
      leaving = false;
      paused = false;
      inbox.clear();
      shape = new FleetTopology(settings(false), members);
      runnerStates = newRunnerStates(firstStart);
      heartbeats = newHeartbeats(now);
      service =
          new HolderService(
              settings(firstStart),
              now,
              now,
              members,
              shape,
              holdings,
              new FleetLoad(),
              this,
              new LoadGuard(new RequestQuarantine(QuarantineSettings.DEFAULT), NO_OP_LISTENER),
              runnerStates,
              heartbeats::datagram,
              this::send,
              this::deliver,
              () -> now,
              () -> now,
              target -> 0,
              () -> unreachable.contains(number),
              heartbeats::holdingsChanged,
              new EventLog("test", "host-" + number));
    }

    private HostState.Builder newState(boolean withHoldings, boolean complete) {
      HostState.Builder state =
          HostState.newBuilder()
              .setIp("10.0.0." + number)
              .setFailureDomain("z")
              .setProcessor(100)
              .setReady(true)
              .setLeaving(leaving)
              .setAsksCommittee(!earlierReleases.contains(number))
              .setRunnersUnreachable(unreachable.contains(number));
      if (withHoldings && !leaving && service != null) {
        for (String runner : service.orderedRunners(now)) {
          holdings
              .find(runner)
              .ifPresent(h -> state.addHoldings(StateCodec.encodeHolding(runner, h, now)));
        }
      }
      return state;
    }

    void tick() {
      HolderService running = service;
      if (running == null || paused) {
        return;
      }
      Map<RunnerEntry, EngineSpec> known = new HashMap<>();
      Map<String, List<Demand>> demands = new HashMap<>();
      for (Runner runner : runners) {
        known.put(runner.entry, ENGINE);
        Demand demand = new Demand("m", "a" + random.nextInt(9), 1, 1, 0);
        demands.put(runner.entry.id(), List.of(demand));
      }
      running.tick(time -> known, now);
      running.updateLocalDemands(demands, now);
      heartbeats.tick(now);
    }

    private void deliver(Runnable action) {
      if (paused) {
        inbox.add(action);
      } else if (service != null) {
        action.run();
      }
    }

    private void send(String ip, byte[] bytes) {
      int to = Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1));
      boolean lost =
          muted.contains(number)
              || disconnected.contains(number)
              || disconnected.contains(to)
              || random.nextInt(40) == 0;
      if (to >= hosts.size() || to == number || lost) {
        return;
      }
      schedule(
          randomDelayMillis(),
          () -> hosts.get(to).deliver(() -> hosts.get(to).receive(number, bytes)));
    }

    private void receive(int from, byte[] bytes) {
      HolderService running = service;
      if (running == null) {
        return;
      }
      try {
        PeerDatagram datagram = PeerDatagram.parseFrom(bytes);
        String name = datagram.getHost();
        String ip = "10.0.0." + from;
        switch (datagram.getBodyCase()) {
          case STATE -> heartbeats.received(ip, datagram, now);
          case CLAIM -> {
            claimsReceived.merge(number, 1, Integer::sum);
            running.handleClaim(name, ip, datagram.getClaim(), now);
          }
          case GRANT -> running.handleGrant(name, datagram.getGrant(), now);
          case DIGEST -> {
            if (collectsDigests) {
              digests.add(datagram.getDigest());
            }
            heartbeats.receivedDigest(ip, datagram, now);
          }
          case RELEASE -> running.handleRelease(name, datagram.getRelease());
          default -> throw new AssertionError(datagram.getBodyCase());
        }
      } catch (InvalidProtocolBufferException e) {
        throw new AssertionError(e);
      }
    }

    @Override
    public void sendOrder(
        RunnerEntry runner,
        Order order,
        long expectedSequence,
        String holder,
        long token,
        long timeoutMillis,
        Consumer<OrderReply> listener) {
      int sentInGeneration = generation;
      schedule(
          randomDelayMillis(),
          () -> {
            if (unreachable.contains(number)) {
              deliverReply(sentInGeneration, () -> listener.accept(OrderReply.UNKNOWN));
              return;
            }
            OrderReply reply = OrderReply.WRONG_RUNNER;
            for (Runner candidate : runners) {
              if (candidate.entry.id().equals(runner.id())) {
                reply = candidate.order(this, order, expectedSequence, holder, token);
              }
            }
            OrderReply received = random.nextInt(30) == 0 ? OrderReply.UNKNOWN : reply;
            schedule(
                randomDelayMillis(),
                () -> deliverReply(sentInGeneration, () -> listener.accept(received)));
          });
    }

    @Override
    public void fetchReport(
        RunnerEntry runner, long timeoutMillis, Consumer<ReportReply> listener) {
      int sentInGeneration = generation;
      schedule(
          randomDelayMillis(),
          () -> {
            if (unreachable.contains(number)) {
              deliverReply(
                  sentInGeneration, () -> listener.accept(new ReportReply.Missing("no path")));
              return;
            }
            for (Runner candidate : runners) {
              if (candidate.entry.id().equals(runner.id())) {
                Map<String, Integer> adapters = new HashMap<>();
                candidate.heldAdapters.forEach(target -> adapters.put(target, 1));
                RunnerReport report =
                    new RunnerReport(0, candidate.sequence, false, Set.of("m"), adapters, Map.of());
                deliverReply(
                    sentInGeneration, () -> listener.accept(new ReportReply.Received(report)));
                return;
              }
            }
            deliverReply(
                sentInGeneration,
                () -> listener.accept(new ReportReply.Missing("no runner with this id")));
          });
    }

    private void deliverReply(int sentInGeneration, Runnable action) {
      if (generation == sentInGeneration) {
        deliver(action);
      }
    }
  }
}
