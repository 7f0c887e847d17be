package org.sequoiahub.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.core.allowance.AllowanceKeeper;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.dispatch.Shutdown;
import org.sequoiahub.core.holding.Demand;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.MemberSettings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.member.Members.Member;
import org.sequoiahub.core.quarantine.LoadGuard;
import org.sequoiahub.core.quarantine.QuarantineSettings;
import org.sequoiahub.core.quarantine.RequestQuarantine;
import org.sequoiahub.core.retry.SharedRetryBudget;
import org.sequoiahub.core.routing.CallerLimits;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.node.call.FleetView;
import org.sequoiahub.node.call.QuarantineGate;
import org.sequoiahub.node.call.RequestCoordinator;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.caller.CallerServer;
import org.sequoiahub.node.holder.HolderService;
import org.sequoiahub.node.peer.CallerAddresses;
import org.sequoiahub.node.peer.DatagramPort;
import org.sequoiahub.node.peer.DemandSender;
import org.sequoiahub.node.peer.FleetShape;
import org.sequoiahub.node.peer.PeerHeartbeats;
import org.sequoiahub.node.peer.PulledRecords;
import org.sequoiahub.node.peer.RecordExchange;
import org.sequoiahub.node.peer.RecordSync;
import org.sequoiahub.node.peer.RunnerEndExchange;
import org.sequoiahub.node.peer.StateCodec;
import org.sequoiahub.node.store.StoreFollower;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.node.store.WatchTiming;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.duty.Duty;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.metrics.MetricsText;
import org.sequoiahub.schema.peer.AdapterDemand;
import org.sequoiahub.schema.peer.DemandReport;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.OrderClient;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.StoreClient;
import org.sequoiahub.usersplatform.StoreKeys;
import org.sequoiahub.usersplatform.StoredItem;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireConnection;
import org.sequoiahub.wire.WireServer;
import org.sequoiahub.wire.WireThreads;

/**
 * A running host: its ports, its clients, and the one thread that decides.
 *
 * <p>Network threads hand everything that takes a decision to that thread through a bounded ring;
 * only the pieces of a stream go straight from the runner's connection to the caller's.
 */
public final class Node {

  private static final int RING = 65_536;

  /** The decision thread looks after what is due this often while requests wait (ms). */
  private static final long TICK_MILLIS = 10;

  /**
   * The same while none does (ms): what is due then are heartbeats, deadlines and second sends, and
   * to wake up is most of what an idle host spends.
   */
  private static final long CALM_TICK_MILLIS = 25;

  /**
   * The same in a large fleet while a host has no request, orders no runner and speaks for no other
   * (ms): most hosts of such a fleet are idle, and what wakes them up is what they cost.
   */
  private static final long IDLE_TICK_MILLIS = 100;

  /** Leases, orders and the store are looked after this often (ms). */
  private static final long SLOW_TICK_MILLIS = 20;

  /** What changes slowly is looked after this often (ms). */
  private static final long UPKEEP_MILLIS = 100;

  /** The same of a host that only takes requests, in a large fleet. */
  private static final long ORDINARY_UPKEEP_MILLIS = 250;

  /** A host that orders no runner looks this often whether it should (ms). */
  private static final long IDLE_HOLDER_MILLIS = 100;

  /** The same of a host that only takes requests, in a large fleet. */
  private static final long ORDINARY_HOLDER_MILLIS = 500;

  /** A connection between hosts that answers no probe for this long is dropped (ms). */
  private static final long SILENCE_MILLIS = 1_500;

  /**
   * Watches of the runners start this far apart (ms): runners write all the time, each call has a
   * price, and one that leaves must be known within the 2 s that it goes on serving.
   */
  private static final long RUNNER_SPACING_MILLIS = 600;

  /** Runners that vanished this long ago are forgotten (ms). */
  private static final long FORGET_MILLIS = 60_000;

  private final HostSettings host;

  /** Which process of its host this is: the time of day of its start (ms). */
  private final long incarnation;

  private final EventLog log;
  private final MetricRegistry metrics = new MetricRegistry();
  private final Random random = new Random(new SecureRandom().nextLong());
  private final EventLoopGroup network = WireThreads.singleThread("peers");
  private final HttpClient storeHttp;
  private final HttpClient runnerHttp;
  private final Duty<Runnable> duty;
  private final Members<HostState> members;
  private final Holdings holdings = new Holdings();
  private final FleetLoad loads = new FleetLoad();
  private final FleetSpending spending;
  private final AllowanceKeeper allowances;
  private final RunnerRegistry book = new RunnerRegistry();
  private final StoreRegistry store;
  private final FleetView fleet;
  private final RequestCoordinator calls;
  private final HolderService holder;
  private final FleetShape shape;
  private final CallerAddresses callerAddresses;
  private final PeerHeartbeats peers;
  private final RequestQuarantine knownEnds;
  private final RunnerEndExchange runnerEnds;
  private final QuarantineGate quarantine;
  private final LoadGuard loadGuard;
  private final DemandSender demandSender;
  private final RecordSync records;
  private final CallerServer callerServer;
  private final DatagramPort datagrams;
  private final WireServer wireServer;
  private final WireClients wireClients;
  private volatile CallerLimits limits = CallerLimits.UNKNOWN;
  private volatile boolean ready;
  private volatile boolean leaving;
  private volatile List<String> addresses = List.of();
  private Map<String, FleetLoad.Use> toldUses = Map.of();
  private long slowTickMillis;
  private long upkeepMillis;
  private long idleHolderMillis;

  private Node(HostSettings host, NodeSettings own, long startedMillis) throws Exception {
    this.host = host;
    this.log = new EventLog("node", host.host());
    this.members = new Members<>(host.host(), MemberSettings.DEFAULT);
    this.storeHttp = UpstreamClient.start();
    this.runnerHttp = UpstreamClient.start();
    this.duty =
        new Duty<>(
            "decisions",
            RING,
            this::tickMillis,
            Runnable::run,
            this::tick,
            this::defect,
            MonotonicClock.SYSTEM);
    this.spending = new FleetSpending(host.allowances().windowMillis());
    this.allowances =
        new AllowanceKeeper(
            spending,
            host.allowances(),
            host.expectsOtherHosts(),
            random::nextDouble,
            startedMillis);
    KeyHasher keys = KeyHasher.drawn(new SecureRandom());
    RecordDecoder decoder = new RecordDecoder(keys);
    this.store = new StoreRegistry(decoder, book, this::inForce, this::changed, log);
    this.fleet =
        new FleetView(
            book,
            holdings,
            loads,
            host.failureDomain(),
            (name, now) -> name.equals(host.host()) || members.isSound(name, now),
            this::sharingHosts,
            store::newestVersion,
            this::missing);
    this.datagrams =
        DatagramPort.open(network, host.ip(), host.datagramPort(), log, this::datagram);
    this.incarnation = System.currentTimeMillis();
    this.shape = new FleetShape(host, members);
    this.callerAddresses = new CallerAddresses(host, members, shape);
    this.peers =
        new PeerHeartbeats(
            host,
            incarnation,
            members,
            shape,
            loads,
            holdings,
            spending,
            datagrams::send,
            this::ownState,
            this::stateOf,
            this::wordOf,
            random,
            log);
    this.knownEnds = new RequestQuarantine(QuarantineSettings.DEFAULT);
    this.runnerEnds =
        new RunnerEndExchange(knownEnds, members, shape, peers::datagram, datagrams::send, random);
    this.quarantine = new QuarantineGate(knownEnds, book, runnerEnds, metrics, log);
    this.loadGuard = new LoadGuard(knownEnds, runnerEnds);
    metrics.register("quarantine.requests", (Gauge<Integer>) knownEnds::size);
    SharedRetryBudget budget =
        new SharedRetryBudget(host.retries(), startedMillis, host.firstStart());
    this.calls =
        new RequestCoordinator(
            fleet,
            keys,
            allowances,
            new UpstreamClient(runnerHttp),
            budget,
            quarantine,
            loadGuard,
            duty::put,
            MonotonicClock.SYSTEM::nowMillis,
            this::changed,
            random,
            metrics,
            log);
    this.demandSender =
        new DemandSender(host.host(), members, holdings, peers::datagram, datagrams::send);
    this.holder =
        new HolderService(
            host,
            incarnation,
            startedMillis,
            members,
            shape,
            holdings,
            loads,
            new OrderClient(runnerHttp, decoder),
            loadGuard,
            peers::datagram,
            datagrams::send,
            duty::put,
            MonotonicClock.SYSTEM::nowMillis,
            System::currentTimeMillis,
            store::newestVersion,
            peers::holdingsChanged,
            log);
    this.wireClients = new WireClients(network, SILENCE_MILLIS);
    StoreClient storeClient = new StoreClient(storeHttp, host.storeAddress());
    this.records =
        new RecordSync(
            Math.min(host.configurationMillis(), host.drainMillis()),
            startedMillis,
            shape,
            members,
            store,
            follower(
                storeClient,
                StoreKeys.OPERATOR_PREFIX,
                WatchTiming.within(host.configurationMillis(), 0)),
            follower(
                storeClient,
                StoreKeys.RUNNER_PREFIX,
                WatchTiming.within(host.drainMillis(), RUNNER_SPACING_MILLIS)),
            new RecordExchange(RecordExchange.over(wireClients, host.peerPort()), this::passedOn),
            this::changed,
            log);
    this.wireServer =
        WireServer.open(network, host.ip(), host.peerPort(), SILENCE_MILLIS, new PeerHandler());
    this.callerServer =
        new CallerServer(
            host.ip(),
            host.callerPort(),
            host.readinessPort(),
            host.addressPort(),
            own.getMetricsPort(),
            Math.min(own.getAddressTtlMs(), host.addressTtlMillis()),
            () -> addresses,
            () -> ready && !leaving,
            () -> limits,
            () -> MetricsText.render(metrics),
            request -> duty.put(() -> arrived(request)));
  }

  /**
   * Starts a host's program.
   *
   * @param startedMillis when the process began, on the monotonic clock
   * @throws IOException if a port cannot be opened
   */
  public static Node start(NodeSettings own, HostSettings host, long startedMillis)
      throws Exception {
    Node node = new Node(host, own, startedMillis);
    node.registerGauges();
    node.duty.start();
    node.callerServer.start();
    node.log.info(
        "started",
        "domain",
        host.failureDomain(),
        "first_start",
        host.firstStart(),
        "seeds",
        host.seeds().size());
    return node;
  }

  /**
   * Takes in settings that have changed while the process runs.
   *
   * <p>Seeds are used at once. Addresses and bounds hold for the life of a process: they are logged
   * and come into force with its next start.
   */
  public void reload(HostSettings changed) {
    log.info(
        "settings-reloaded",
        "seeds",
        changed.seeds().size(),
        "needs_restart",
        !changed.withSeeds(host.seeds()).equals(host));
    duty.put(() -> peers.seeds(changed.seeds()));
  }

  /**
   * Leaves the fleet and finishes what is in progress; a second call does nothing.
   *
   * <p>A process that is about to end calls this alone: closing each port and client takes a slow
   * host more than half a second, in which the platform kills the process.
   */
  public void leave() throws InterruptedException {
    if (leaving) {
      return;
    }
    Shutdown shutdown = new Shutdown(MonotonicClock.SYSTEM.nowMillis(), host.shutdownMillis());
    leaving = true;
    log.info("stopping");
    duty.put(
        () -> {
          long now = MonotonicClock.SYSTEM.nowMillis();
          refreshAddresses(now);
          holder.stop();
          peers.tellAll(now);
          calls.stop(shutdown);
        });
    boolean idle = false;
    while (MonotonicClock.SYSTEM.nowMillis() < shutdown.endMillis() && !idle) {
      TimeUnit.MILLISECONDS.sleep(50);
      idle = !shutdown.isFirstPart(MonotonicClock.SYSTEM.nowMillis()) && inProgress() == 0;
    }
    log.info("stopped", "in_progress", inProgress());
  }

  /** Leaves the fleet and closes all ports, clients and threads. */
  public void stop() throws Exception {
    leave();
    callerServer.close();
    duty.close();
    datagrams.close();
    wireServer.close();
    wireClients.close();
    storeHttp.stop();
    runnerHttp.stop();
    network.shutdownGracefully();
  }

  private int inProgress() throws InterruptedException {
    int[] count = new int[1];
    CountDownLatch counted = new CountDownLatch(1);
    duty.put(
        () -> {
          count[0] = calls.size();
          counted.countDown();
        });
    counted.await();
    return count[0];
  }

  /** What operators look at first; read on a server thread, so only what is safe to read there. */
  private void registerGauges() {
    metrics.register("ready", (Gauge<Integer>) () -> ready && !leaving ? 1 : 0);
    metrics.register("addresses.named", (Gauge<Integer>) () -> addresses.size());
    metrics.register("decisions.backlog", (Gauge<Integer>) duty::backlog);
    metrics.register("configuration.version", (Gauge<Long>) () -> store.status().version());
    metrics.register(
        "configuration.from_peer", (Gauge<Integer>) () -> store.status().fromPeer() ? 1 : 0);
    metrics.register(
        "configuration.in_force_ms", (Gauge<Long>) () -> ago(store.status().inForceMillis()));
    metrics.register(
        "configuration.confirmed_ms_ago",
        (Gauge<Long>) () -> ago(store.status().confirmedMillis()));
  }

  /** Returns how long ago a moment was (ms); -1 if it never was. */
  private static long ago(long millis) {
    return millis < 0 ? -1 : MonotonicClock.SYSTEM.nowMillis() - millis;
  }

  private StoreFollower follower(StoreClient client, String prefix, WatchTiming timing) {
    return new StoreFollower(
        client, prefix, timing, store, duty::put, MonotonicClock.SYSTEM::nowMillis);
  }

  /**
   * Returns how many hosts share what the fleet may spend, this one included; 0 if this host hears
   * of no other though there are some. A host that has just started goes by those that know more.
   */
  private int sharingHosts(long nowMillis) {
    List<Member<HostState>> others = members.reachable(nowMillis);
    int hosts = 1 + others.size();
    for (Member<HostState> other : others) {
      HostState state = other.state();
      hosts = Math.max(hosts, state == null ? 0 : state.getFleetSize());
    }
    return hosts == 1 && host.expectsOtherHosts() ? 0 : hosts;
  }

  private long tickMillis() {
    if (calls.isAnyWaiting()) {
      return TICK_MILLIS;
    }
    boolean idle = isOrdinary() && calls.size() == 0 && !holder.isActive();
    return idle ? IDLE_TICK_MILLIS : CALM_TICK_MILLIS;
  }

  private void tick(long nowMillis) {
    calls.tick(nowMillis);
    if (calls.demandsDue(nowMillis)) {
      Map<String, List<Demand>> demands = calls.demands(nowMillis);
      holder.localDemands(demands, nowMillis);
      demandSender.tell(demands, nowMillis);
    }
    if (nowMillis - slowTickMillis >= SLOW_TICK_MILLIS) {
      slowTickMillis = nowMillis;
      records.tick(nowMillis);
      if (holder.isActive()) {
        holder.tick(fleet.engines(nowMillis), nowMillis);
      }
    }
    long upkeepPeriod = isOrdinary() ? ORDINARY_UPKEEP_MILLIS : UPKEEP_MILLIS;
    if (nowMillis - upkeepMillis >= upkeepPeriod) {
      upkeepMillis = nowMillis;
      upkeep(nowMillis);
    }
    peers.tick(nowMillis);
    runnerEnds.tick(nowMillis);
  }

  /** Returns whether this host only takes requests: others watch the store and order runners. */
  private boolean isOrdinary() {
    return shape.isLarge() && !shape.isDelegate();
  }

  private void upkeep(long nowMillis) {
    long holderPeriod = isOrdinary() ? ORDINARY_HOLDER_MILLIS : IDLE_HOLDER_MILLIS;
    if (!holder.isActive() && nowMillis - idleHolderMillis >= holderPeriod) {
      idleHolderMillis = nowMillis;
      holder.tick(fleet.engines(nowMillis), nowMillis);
    }
    refreshAddresses(nowMillis);
    members.forget(nowMillis);
    book.forget(nowMillis, FORGET_MILLIS);
    fleet.forget(nowMillis);
    knownEnds.memoryLost(hasFleetForgotten(nowMillis));
    allowances.upkeep(nowMillis);
    calls.upkeep(nowMillis);
    quarantine.upkeep(nowMillis);
    loadGuard.upkeep(book::hasEnded, nowMillis);
  }

  /**
   * Returns whether ends of runners may be forgotten that still count: all hosts that are alive
   * started since, and not with the deployment, before which there was nothing to know.
   */
  private boolean hasFleetForgotten(long nowMillis) {
    if (host.firstStart()) {
      return false;
    }
    long oldest = incarnation;
    for (Member<HostState> member : members.alive(nowMillis)) {
      HostState state = member.state();
      if (state != null && state.getFirstStart()) {
        return false;
      }
      oldest = Math.min(oldest, member.incarnation());
    }
    long remembered = System.currentTimeMillis() - oldest;
    return remembered < QuarantineSettings.DEFAULT.holdMillis();
  }

  private void changed() {
    peers.changed();
  }

  private void missing(String runner, String target, long nowMillis) {
    holder.missing(runner, target, nowMillis);
    demandSender.refused(runner, target);
  }

  private void inForce(RoutingTable table) {
    fleet.table(table);
    allowances.configured(table.workspaces().all(), MonotonicClock.SYSTEM.nowMillis());
    limits = table.limits();
    callerServer.apply(table.limits());
  }

  private void arrived(CallerExchange request) {
    callerAddresses.arrived(MonotonicClock.SYSTEM.nowMillis());
    calls.arrived(request);
  }

  private void refreshAddresses(long nowMillis) {
    ready = store.isFilled();
    addresses = callerAddresses.named(ready && !leaving, nowMillis);
  }

  private void datagram(String ip, PeerDatagram datagram) {
    duty.offer(() -> received(ip, datagram));
  }

  private void received(String ip, PeerDatagram datagram) {
    long now = MonotonicClock.SYSTEM.nowMillis();
    String from = datagram.getHost();
    records.heard(from, now);
    switch (datagram.getBodyCase()) {
      case STATE -> {
        peers.received(ip, datagram, now);
        runnerEnds.heard(from, datagram.getIncarnation(), ip, now);
      }
      case DIGEST -> peers.receivedDigest(ip, datagram, now);
      case CLAIM -> holder.claimed(from, ip, datagram.getClaim(), now);
      case GRANT -> holder.granted(from, datagram.getGrant(), now);
      case RELEASE -> holder.released(from, datagram.getRelease());
      case DEMAND -> demanded(from, ip, datagram.getDemand(), now);
      case ENDS -> runnerEnds.received(from, ip, datagram.getEnds(), now);
      default -> log.warning("datagram-dropped", "from", from, "why", "unknown body");
    }
  }

  private void demanded(String from, String ip, DemandReport report, long nowMillis) {
    Set<String> runners = new HashSet<>();
    for (AdapterDemand demand : report.getDemandsList()) {
      runners.add(demand.getRunner());
      if (demand.getRefused()) {
        holder.missing(demand.getRunner(), demand.getAdapter(), nowMillis);
      } else {
        holder.remoteDemand(from, demand.getRunner(), StateCodec.decodeDemand(demand), nowMillis);
      }
    }
    if (shape.isLarge()) {
      holder.answerDemands(ip, runners, nowMillis);
    }
  }

  private void stateOf(String from, HostState state) {
    long now = MonotonicClock.SYSTEM.nowMillis();
    loads.told(from, StateCodec.uses(state.getLoadsList()), state.getLoadsComplete(), now);
    StateCodec.holdings(from, state, now).forEach(holdings::told);
    wordOf(from, state);
  }

  private void wordOf(String from, HostState state) {
    records.told(from, state, MonotonicClock.SYSTEM.nowMillis());
  }

  /** Takes in records as if another host had passed them on that knows no others. */
  void adopt(List<StoredItem> items) {
    passedOn(new PulledRecords(host.ip(), items, 0, 0, 0));
  }

  private void passedOn(PulledRecords pulled) {
    duty.put(() -> records.received(pulled, MonotonicClock.SYSTEM.nowMillis()));
  }

  private HostState.Builder ownState(boolean withHoldings, boolean complete) {
    long now = MonotonicClock.SYSTEM.nowMillis();
    HostState.Builder state =
        HostState.newBuilder()
            .setIp(host.ip())
            .setFailureDomain(host.failureDomain())
            .setProcessor(host.processorPercent())
            .setFirstStart(host.firstStart())
            .setCallerAddress(callerAddresses.own())
            .setRequestsPerSecond(callerAddresses.requestsPerSecond(now))
            .setReady(ready && !leaving)
            .setLeaving(leaving)
            .setFleetSize(1 + members.reachable(now).size())
            .setConfigRevision(store.newestOperatorRevision())
            .setRunnersRevision(store.newestRunnersRevision());
    state.setLoadsComplete(complete);
    StateCodec.addUses(state, complete ? allUses() : changedUses());
    Set<String> told = leaving || !withHoldings ? Set.of() : holder.told(now);
    for (String runner : told) {
      holdings
          .find(runner)
          .ifPresent(h -> state.addHoldings(StateCodec.encodeHolding(runner, h, now)));
    }
    return state;
  }

  private Map<String, FleetLoad.Use> allUses() {
    toldUses = loads.own();
    return toldUses;
  }

  /** What has changed since it was told last; a runner with nothing left is told as such. */
  private Map<String, FleetLoad.Use> changedUses() {
    Map<String, FleetLoad.Use> before = toldUses;
    Map<String, FleetLoad.Use> changed = new HashMap<>(allUses());
    changed.entrySet().removeIf(entry -> entry.getValue().equals(before.get(entry.getKey())));
    for (String runner : before.keySet()) {
      if (!toldUses.containsKey(runner)) {
        changed.put(runner, FleetLoad.NONE);
      }
    }
    return changed;
  }

  private void defect(Throwable failure) {
    log.warning("defect", "failure", failure, "at", firstFrame(failure));
  }

  private static String firstFrame(Throwable failure) {
    StackTraceElement[] frames = failure.getStackTrace();
    return frames.length == 0 ? "unknown" : frames[0].toString();
  }

  private final class PeerHandler implements WireServer.Handler {
    @Override
    public void onMessage(WireConnection connection, Envelope message) {
      if (message.hasStorePull()) {
        duty.put(
            () ->
                connection.send(
                    message.getCall(),
                    Envelope.newBuilder()
                        .setStoreRecords(
                            RecordExchange.answer(
                                message.getStorePull(),
                                store,
                                MonotonicClock.SYSTEM.nowMillis()))));
      }
    }

    @Override
    public void onClosed(WireConnection connection) {
      // Nothing is kept for a connection.
    }
  }
}
