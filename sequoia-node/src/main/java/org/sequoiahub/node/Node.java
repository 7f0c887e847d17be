package org.sequoiahub.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.core.allowance.AllowanceLimiter;
import org.sequoiahub.core.allowance.FleetSpending;
import org.sequoiahub.core.dispatch.FleetLoad;
import org.sequoiahub.core.dispatch.Shutdown;
import org.sequoiahub.core.holding.Holdings;
import org.sequoiahub.core.member.MemberSettings;
import org.sequoiahub.core.member.Members;
import org.sequoiahub.core.origin.ResumePolicy;
import org.sequoiahub.core.origin.ServiceVersions;
import org.sequoiahub.core.quarantine.LoadGuard;
import org.sequoiahub.core.quarantine.QuarantineSettings;
import org.sequoiahub.core.quarantine.RequestQuarantine;
import org.sequoiahub.core.reach.RunnerPath;
import org.sequoiahub.core.retry.SharedRetryBudget;
import org.sequoiahub.core.routing.CallerLimits;
import org.sequoiahub.core.routing.RoutingTable;
import org.sequoiahub.core.runnerstate.RunnerSignals;
import org.sequoiahub.core.upstream.RunnerEntry;
import org.sequoiahub.core.upstream.RunnerRegistry;
import org.sequoiahub.core.workspace.KeyHasher;
import org.sequoiahub.node.call.FleetView;
import org.sequoiahub.node.call.QuarantineGate;
import org.sequoiahub.node.call.RequestCoordinator;
import org.sequoiahub.node.call.RunnerSpeeds;
import org.sequoiahub.node.caller.CallerExchange;
import org.sequoiahub.node.caller.CallerServer;
import org.sequoiahub.node.forward.ForwardedRequests;
import org.sequoiahub.node.forward.WireRequestForwarder;
import org.sequoiahub.node.holder.DemandReceiver;
import org.sequoiahub.node.holder.HolderService;
import org.sequoiahub.node.origin.OriginKeepers;
import org.sequoiahub.node.origin.StreamOriginExchange;
import org.sequoiahub.node.peer.AdvertisedUses;
import org.sequoiahub.node.peer.CallerAddresses;
import org.sequoiahub.node.peer.DatagramPort;
import org.sequoiahub.node.peer.DemandSender;
import org.sequoiahub.node.peer.FleetHistory;
import org.sequoiahub.node.peer.FleetTopology;
import org.sequoiahub.node.peer.PeerConnections;
import org.sequoiahub.node.peer.PeerHeartbeats;
import org.sequoiahub.node.peer.PermitExchange;
import org.sequoiahub.node.peer.PulledRecords;
import org.sequoiahub.node.peer.ReachingHostSelector;
import org.sequoiahub.node.peer.RecordExchange;
import org.sequoiahub.node.peer.RecordSync;
import org.sequoiahub.node.peer.RunnerTerminationExchange;
import org.sequoiahub.node.peer.StateCodec;
import org.sequoiahub.node.peer.StoreReaders;
import org.sequoiahub.node.reach.ConnectProber;
import org.sequoiahub.node.reach.RunnerPathMonitor;
import org.sequoiahub.node.runnerstate.RunnerStates;
import org.sequoiahub.node.store.ConfigurationStatus;
import org.sequoiahub.node.store.StoreFollowers;
import org.sequoiahub.node.store.StoreRegistry;
import org.sequoiahub.node.upstream.RunnerAddressResolver;
import org.sequoiahub.node.upstream.UpstreamClient;
import org.sequoiahub.runtime.duty.Duty;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.metrics.MetricsText;
import org.sequoiahub.runtime.process.ProcessorTimes;
import org.sequoiahub.schema.peer.Digest;
import org.sequoiahub.schema.peer.HostState;
import org.sequoiahub.schema.peer.PeerDatagram;
import org.sequoiahub.schema.settings.NodeSettings;
import org.sequoiahub.usersplatform.HostSettings;
import org.sequoiahub.usersplatform.OrderClient;
import org.sequoiahub.usersplatform.RecordDecoder;
import org.sequoiahub.usersplatform.RunnerProbeClient;
import org.sequoiahub.usersplatform.StoreClient;
import org.sequoiahub.usersplatform.StoredItem;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireServer;
import org.sequoiahub.wire.WireThreads;

/**
 * A running host: its ports, its clients and its single decision thread.
 *
 * <p>Network threads pass all work that requires a decision to the decision thread through a
 * bounded queue. Only the content of a stream is passed directly from the runner's connection to
 * the caller's.
 */
public final class Node {

  /** Capacity of the decision thread's queue (actions). */
  private static final int DECISION_QUEUE_CAPACITY = 65_536;

  /** Tick period of the decision thread while requests wait (ms). */
  private static final long TICK_MILLIS = 10;

  /**
   * Tick period while no request waits (ms): only heartbeats, deadlines and hedged requests are due
   * then, and wake-ups account for most of the processor time of an idle host.
   */
  private static final long QUIET_TICK_MILLIS = 25;

  /**
   * Tick period in a large fleet while a host is ready, has no request, holds or claims no lease
   * and is not a delegate (ms): most hosts of such a fleet are idle, and wake-ups account for most
   * of their processor time.
   */
  private static final long IDLE_TICK_MILLIS = 250;

  /** Interval at which leases, orders and the synchronization with the store are processed (ms). */
  private static final long HOLDER_AND_STORE_TICK_MILLIS = 20;

  /** Interval at which the advertised addresses and the members are refreshed (ms). */
  private static final long REFRESH_PERIOD_MILLIS = 100;

  /** Interval of the same at a request-only host (ms). */
  private static final long REQUEST_ONLY_REFRESH_PERIOD_MILLIS = 250;

  /**
   * Interval of upkeep, which removes what is obsolete and publishes metrics (ms): its cost grows
   * with the runners and the hosts, and nothing depends on its time.
   */
  private static final long UPKEEP_PERIOD_MILLIS = 1_000;

  /** Interval at which a host without leases checks whether it should claim one (ms). */
  private static final long HOLDER_CHECK_PERIOD_MILLIS = 100;

  /** Interval of the same check at a request-only host (ms). */
  private static final long REQUEST_ONLY_HOLDER_CHECK_PERIOD_MILLIS = 500;

  /** Time after which a connection between hosts that answers no probe is closed (ms). */
  private static final long PEER_TIMEOUT_MILLIS = 1_500;

  /**
   * Time after which a connect to a runner that tests the path to it has failed (ms): as long as
   * for a connect that a request waits for.
   */
  private static final int PROBE_TIMEOUT_MILLIS = 250;

  /** Interval at which a stopping host checks whether requests are in progress (ms). */
  private static final long STOP_CHECK_MILLIS = 50;

  /**
   * Time for which a host that is about to exit waits for responses to be written (ms): callers get
   * what is ready, and a slow one does not delay the exit beyond the grace time.
   */
  private static final long CLOSE_CONNECTIONS_MILLIS = 200;

  /** Time for which the state of a runner without an entry is retained (ms). */
  private static final long RUNNER_RETENTION_MILLIS = 60_000;

  private final HostSettings hostSettings;

  /** Start time of this process (ms since the epoch), which distinguishes it from earlier ones. */
  private final long incarnation;

  private final EventLog log;
  private final MetricRegistry metrics = new MetricRegistry();
  private final Random random = new Random(new SecureRandom().nextLong());
  private final EventLoopGroup network = WireThreads.singleThread("peers");
  private final HttpClient storeHttp;
  private final HttpClient runnerHttp;
  private final Duty<Runnable> decisionThread;
  private final Members<HostState> members;
  private final FleetHistory history;
  private final Holdings holdings = new Holdings();
  private final FleetLoad fleetLoad = new FleetLoad();
  private final AdvertisedUses advertisedUses = new AdvertisedUses(fleetLoad::own);
  private final FleetSpending spending;
  private final AllowanceLimiter allowances;
  private final RunnerRegistry runnerRegistry;
  private final StoreRegistry storeRegistry;
  private final RunnerSpeeds runnerSpeeds;
  private final FleetView fleetView;
  private final RequestCoordinator requestCoordinator;
  private final HolderService holderService;
  private final DemandReceiver demandReceiver;
  private final FleetTopology fleetShape;
  private final CallerAddresses callerAddresses;
  private final PeerHeartbeats heartbeats;
  private final RequestQuarantine requestQuarantine;
  private final RunnerTerminationExchange terminationExchange;
  private final QuarantineGate quarantineGate;
  private final LoadGuard loadGuard;
  private final RunnerStates runnerStates;
  private final RunnerPathMonitor runnerPath;
  private final StreamOriginExchange originExchange;
  private final PermitExchange permitExchange;
  private final DemandSender demandSender;
  private final RecordSync recordSync;
  private final CallerServer callerServer;
  private final DatagramPort datagrams;
  private final WireServer wireServer;
  private final WireClients wireClients;
  private final ResourceLog resourceLog;
  private volatile CallerLimits callerLimits = CallerLimits.UNKNOWN;
  private volatile boolean ready;
  private volatile boolean leaving;
  private volatile boolean fleetLarge;

  /** Whether this host has nothing to do but to know the fleet. */
  private volatile boolean standingBy;

  private volatile List<String> advertisedAddresses = List.of();
  private volatile List<RunnerEntry> presentRunners = List.of();
  private long lastHolderAndStoreTickMillis;
  private long lastRefreshMillis;
  private long lastUpkeepMillis;
  private long lastHolderCheckMillis;

  private Node(
      HostSettings hostSettings,
      NodeSettings nodeSettings,
      RunnerAddressResolver runnerAddresses,
      long startedMillis)
      throws Exception {
    this.hostSettings = hostSettings;
    this.log = new EventLog("node", hostSettings.host());
    this.incarnation = System.currentTimeMillis();
    this.members = new Members<>(hostSettings.host(), MemberSettings.DEFAULT);
    this.history = new FleetHistory(hostSettings, incarnation, members);
    this.runnerStates =
        new RunnerStates(
            hostSettings,
            incarnation,
            startedMillis,
            this::findRunner,
            this::stateChanged,
            metrics,
            log);
    ServiceVersions serviceVersions =
        hostSettings.firstStart() ? ServiceVersions.ofNewFleet() : ServiceVersions.ofJoinedHost();
    this.runnerRegistry =
        new RunnerRegistry(runnerStates.availability()::isLeaving, serviceVersions);
    this.storeHttp = UpstreamClient.start();
    this.runnerHttp = UpstreamClient.start(runnerAddresses);
    this.decisionThread =
        new Duty<>(
            "decisions",
            DECISION_QUEUE_CAPACITY,
            this::tickPeriodMillis,
            Runnable::run,
            this::tick,
            log::defect,
            MonotonicClock.SYSTEM);
    this.spending = new FleetSpending(hostSettings.allowances().windowMillis());
    this.allowances =
        new AllowanceLimiter(
            spending,
            hostSettings.allowances(),
            hostSettings.expectsOtherHosts(),
            random::nextDouble,
            startedMillis);
    KeyHasher keys = KeyHasher.withRandomSecret(new SecureRandom());
    RecordDecoder decoder = new RecordDecoder(keys);
    this.storeRegistry =
        new StoreRegistry(
            decoder, runnerRegistry, this::applyRoutingTable, this::stateChanged, log);
    this.runnerSpeeds = new RunnerSpeeds(hostSettings.host(), metrics, log);
    this.fleetView =
        new FleetView(
            runnerRegistry,
            holdings,
            fleetLoad,
            hostSettings.host(),
            hostSettings.failureDomain(),
            (name, now) -> name.equals(hostSettings.host()) || members.isHealthy(name, now),
            history::sharingHostCount,
            storeRegistry::newestVersion,
            this::reportMissingAdapter,
            runnerStates.availability(),
            runnerSpeeds);
    this.datagrams =
        DatagramPort.open(
            network,
            hostSettings.ip(),
            hostSettings.datagramPort(),
            metrics,
            log,
            this::datagramReceived);
    this.resourceLog =
        new ResourceLog(new ProcessorTimes(ProcessorTimes.OWN_THREADS), metrics, log);
    this.fleetShape = new FleetTopology(hostSettings, members);
    this.callerAddresses = new CallerAddresses(hostSettings, members, fleetShape);
    this.heartbeats =
        new PeerHeartbeats(
            hostSettings,
            incarnation,
            members,
            fleetShape,
            fleetLoad,
            holdings,
            spending,
            runnerStates,
            datagrams::send,
            this::newState,
            this::handleState,
            this::handleRecordRevisions,
            this::addReadStatement,
            random,
            log);
    this.requestQuarantine =
        new RequestQuarantine(QuarantineSettings.DEFAULT, fleetShape::isElected);
    this.terminationExchange =
        new RunnerTerminationExchange(
            requestQuarantine, members, fleetShape, heartbeats::datagram, datagrams::send, random);
    this.loadGuard = new LoadGuard(requestQuarantine, terminationExchange);
    this.quarantineGate =
        new QuarantineGate(
            requestQuarantine, loadGuard, runnerRegistry, terminationExchange, metrics, log);
    this.runnerPath =
        new RunnerPathMonitor(
            new RunnerPath(random),
            runnerRegistry::usable,
            ConnectProber.over(network, runnerAddresses, PROBE_TIMEOUT_MILLIS),
            decisionThread::put,
            MonotonicClock.SYSTEM::nowMillis,
            new PathListener(),
            metrics,
            log);
    this.originExchange =
        new StreamOriginExchange(
            OriginKeepers.among(members), heartbeats::datagram, datagrams::send);
    this.wireClients = new WireClients(network, PEER_TIMEOUT_MILLIS);
    StoreClient storeClient = new StoreClient(storeHttp, hostSettings.storeAddress());
    StoreFollowers followers =
        StoreFollowers.create(
            storeClient,
            hostSettings.configurationMillis(),
            hostSettings.drainMillis(),
            storeRegistry,
            decisionThread::put,
            MonotonicClock.SYSTEM::nowMillis,
            random::nextDouble,
            log);
    this.recordSync =
        new RecordSync(
            Math.min(hostSettings.configurationMillis(), hostSettings.drainMillis()),
            startedMillis,
            fleetShape,
            members,
            storeRegistry,
            followers.operators(),
            followers.runners(),
            new StoreReaders(
                hostSettings.host(),
                fleetShape,
                members,
                storeRegistry,
                followers.operators().timing(),
                followers.runners().timing()),
            random::nextDouble,
            new RecordExchange(
                RecordExchange.callsOver(wireClients, hostSettings.peerPort()),
                this::recordsReceived,
                log),
            this::stateChanged,
            log);
    SharedRetryBudget budget =
        new SharedRetryBudget(hostSettings.retries(), startedMillis, hostSettings.firstStart());
    this.requestCoordinator =
        new RequestCoordinator(
            fleetView,
            storeRegistry::status,
            hostSettings.configurationMillis(),
            keys,
            allowances,
            new UpstreamClient(runnerHttp, System::currentTimeMillis),
            budget,
            quarantineGate,
            runnerStates,
            runnerPath,
            new ReachingHostSelector(members, random),
            new WireRequestForwarder(wireClients, hostSettings.peerPort()),
            new ResumePolicy(
                serviceVersions,
                recordSync,
                Math.min(hostSettings.configurationMillis(), hostSettings.drainMillis())),
            originExchange,
            originExchange,
            new RunnerProbeClient(
                runnerHttp,
                decoder,
                runner -> fleetView.serviceSpec(runner.service()),
                this::applySignals,
                System::currentTimeMillis),
            decisionThread::put,
            MonotonicClock.SYSTEM::nowMillis,
            this::stateChanged,
            random,
            metrics,
            log);
    this.permitExchange =
        new PermitExchange(
            hostSettings.host(),
            incarnation,
            members,
            fleetShape,
            runnerStates,
            history::sharingHostCount,
            heartbeats::datagram,
            datagrams::send,
            this::stateChanged,
            runners ->
                requestCoordinator.permitsReceived(runners, MonotonicClock.SYSTEM.nowMillis()));
    this.demandSender =
        new DemandSender(
            hostSettings.host(), members, holdings, heartbeats::datagram, datagrams::send);
    this.holderService =
        new HolderService(
            hostSettings,
            incarnation,
            startedMillis,
            members,
            fleetShape,
            holdings,
            fleetLoad,
            new OrderClient(runnerHttp, decoder, this::applySignals, System::currentTimeMillis),
            loadGuard,
            runnerStates,
            heartbeats::datagram,
            datagrams::send,
            decisionThread::put,
            MonotonicClock.SYSTEM::nowMillis,
            System::currentTimeMillis,
            storeRegistry::newestVersion,
            runnerPath::isLost,
            heartbeats::holdingsChanged,
            log);
    this.demandReceiver = new DemandReceiver(holderService, fleetShape);
    this.wireServer =
        WireServer.open(
            network,
            hostSettings.ip(),
            hostSettings.peerPort(),
            PEER_TIMEOUT_MILLIS,
            new PeerConnections(
                new ForwardedRequests(
                    request -> decisionThread.put(() -> requestCoordinator.handle(request))),
                storeRegistry,
                decisionThread::put,
                MonotonicClock.SYSTEM::nowMillis));
    this.callerServer =
        new CallerServer(
            hostSettings.ip(),
            hostSettings.callerPort(),
            hostSettings.readinessPort(),
            hostSettings.addressPort(),
            nodeSettings.getMetricsPort(),
            Math.min(nodeSettings.getAddressTtlMs(), hostSettings.addressTtlMillis()),
            () -> advertisedAddresses,
            () -> ready && !leaving,
            () -> callerLimits,
            this::operatorPage,
            request -> decisionThread.put(() -> requestArrived(request)));
  }

  /**
   * Starts a node.
   *
   * @param nodeSettings the settings of the program itself
   * @param hostSettings the settings of the host, from the platform's settings file
   * @param startedMillis when the process started, on the monotonic clock (ms)
   * @throws IOException if a port cannot be opened
   */
  public static Node start(NodeSettings nodeSettings, HostSettings hostSettings, long startedMillis)
      throws Exception {
    return start(nodeSettings, hostSettings, RunnerAddressResolver.DIRECT, startedMillis);
  }

  /**
   * Starts a node as {@link #start(NodeSettings, HostSettings, long)} does, which reaches the
   * runners at the addresses of a resolver.
   */
  static Node start(
      NodeSettings nodeSettings,
      HostSettings hostSettings,
      RunnerAddressResolver runnerAddresses,
      long startedMillis)
      throws Exception {
    Node node = new Node(hostSettings, nodeSettings, runnerAddresses, startedMillis);
    node.registerGauges();
    node.decisionThread.start();
    node.callerServer.start();
    node.resourceLog.start();
    node.log.info(
        "started",
        "domain",
        hostSettings.failureDomain(),
        "first_start",
        hostSettings.firstStart(),
        "seeds",
        hostSettings.seeds().size());
    return node;
  }

  /**
   * Applies the seeds of settings that were read again while the process is running.
   *
   * <p>All other settings keep the values with which the process was started; a change of any of
   * them takes effect only after a restart. The log line states the number of seeds and whether any
   * other setting has changed, but not which.
   */
  public void reload(HostSettings changed) {
    log.info(
        "settings-reloaded",
        "seeds",
        changed.seeds().size(),
        "needs_restart",
        !changed.withSeeds(hostSettings.seeds()).equals(hostSettings));
    decisionThread.put(() -> heartbeats.updateSeeds(changed.seeds()));
  }

  /**
   * Leaves the fleet and waits until the requests in progress have finished or the shutdown time
   * has passed; a second call does nothing.
   *
   * <p>A process that is about to exit calls only this method. Closing all ports and clients as
   * well takes more than half a second on a slow host, and the platform would kill the process
   * meanwhile.
   */
  public void leave() throws InterruptedException {
    if (leaving) {
      return;
    }
    Shutdown shutdown =
        new Shutdown(MonotonicClock.SYSTEM.nowMillis(), hostSettings.shutdownMillis());
    leaving = true;
    log.info("stopping");
    decisionThread.put(
        () -> {
          long now = MonotonicClock.SYSTEM.nowMillis();
          refreshAddresses(now);
          holderService.stop();
          permitExchange.leave();
          heartbeats.sendToAll(now);
          requestCoordinator.beginShutdown(shutdown);
        });
    boolean closed = false;
    while (MonotonicClock.SYSTEM.nowMillis() < shutdown.endMillis() && !closed) {
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
      closed = decide(() -> requestCoordinator.closeIfIdle(MonotonicClock.SYSTEM.nowMillis()));
    }
    int inProgress =
        decide(
            () -> {
              requestCoordinator.close();
              return requestCoordinator.inProgressCount();
            });
    int unfinished = callerServer.closeCallerConnections(CLOSE_CONNECTIONS_MILLIS);
    log.info("stopped", "in_progress", inProgress, "unfinished", unfinished);
  }

  /** Writes the log line on resources that is otherwise written periodically. */
  void logResources() {
    resourceLog.write();
  }

  /** Leaves the fleet and closes all ports, clients and threads. */
  public void stop() throws Exception {
    leave();
    callerServer.close();
    decisionThread.close();
    datagrams.close();
    wireServer.close();
    wireClients.close();
    storeHttp.stop();
    runnerHttp.stop();
    network.shutdownGracefully();
  }

  /** Returns what a task returns on the decision thread. */
  private <T> T decide(Callable<T> task) throws InterruptedException {
    FutureTask<T> decision = new FutureTask<>(task);
    decisionThread.put(decision);
    try {
      return decision.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a task of the decision thread has failed", e);
    }
  }

  /**
   * Registers the gauges that operators look at first. They are read on a server thread, so they
   * use thread-safe state only.
   */
  private void registerGauges() {
    metrics.register("ready", (Gauge<Integer>) () -> ready && !leaving ? 1 : 0);
    metrics.register("addresses.named", (Gauge<Integer>) () -> advertisedAddresses.size());
    metrics.register("decisions.backlog", (Gauge<Integer>) decisionThread::backlog);
    ConfigurationStatus.registerGauges(
        metrics, storeRegistry::status, MonotonicClock.SYSTEM::nowMillis);
  }

  private long tickPeriodMillis() {
    if (requestCoordinator.hasWaitingRequests() || originExchange.isSearching()) {
      standingBy = false;
      return TICK_MILLIS;
    }
    boolean idle =
        ready
            && isRequestOnly()
            && requestCoordinator.inProgressCount() == 0
            && !holderService.isActive()
            && !recordSync.isReading(MonotonicClock.SYSTEM.nowMillis());
    standingBy = idle;
    return idle ? IDLE_TICK_MILLIS : QUIET_TICK_MILLIS;
  }

  private void tick(long nowMillis) {
    runnerPath.tick(nowMillis);
    requestCoordinator.tick(nowMillis);
    requestCoordinator
        .takeDemandsIfDue(nowMillis)
        .ifPresent(
            demands -> {
              holderService.updateLocalDemands(demands, nowMillis);
              demandSender.report(demands, nowMillis);
            });
    if (nowMillis - lastHolderAndStoreTickMillis >= HOLDER_AND_STORE_TICK_MILLIS) {
      lastHolderAndStoreTickMillis = nowMillis;
      recordSync.tick(nowMillis);
      if (holderService.isActive()) {
        holderService.tick(fleetView::engineSpecs, nowMillis);
      }
    }
    long refreshPeriod =
        isRequestOnly() ? REQUEST_ONLY_REFRESH_PERIOD_MILLIS : REFRESH_PERIOD_MILLIS;
    if (nowMillis - lastRefreshMillis >= refreshPeriod) {
      lastRefreshMillis = nowMillis;
      refresh(nowMillis);
    }
    if (nowMillis - lastUpkeepMillis >= UPKEEP_PERIOD_MILLIS) {
      lastUpkeepMillis = nowMillis;
      performUpkeep(nowMillis);
    }
    heartbeats.tick(nowMillis);
    terminationExchange.tick(nowMillis);
    permitExchange.tick(nowMillis);
    originExchange.tick(nowMillis);
  }

  /**
   * Returns whether this host only processes requests, as in a large fleet all but the delegates
   * do: the delegates watch the store and hold the leases of runners.
   */
  private boolean isRequestOnly() {
    return fleetShape.isLarge() && !fleetShape.isDelegate();
  }

  private void refresh(long nowMillis) {
    long holderPeriod =
        isRequestOnly() ? REQUEST_ONLY_HOLDER_CHECK_PERIOD_MILLIS : HOLDER_CHECK_PERIOD_MILLIS;
    if (!holderService.isActive() && nowMillis - lastHolderCheckMillis >= holderPeriod) {
      lastHolderCheckMillis = nowMillis;
      holderService.tick(fleetView::engineSpecs, nowMillis);
    }
    refreshAddresses(nowMillis);
    members.removeExpired(nowMillis);
    fleetLarge = fleetShape.isLarge();
    requestQuarantine.historyLost(
        history.isShorterThan(
            QuarantineSettings.DEFAULT.quarantineMillis(), System.currentTimeMillis(), nowMillis));
    allowances.assumeSilentSpending(nowMillis);
    quarantineGate.runMaintenance(nowMillis);
  }

  private void performUpkeep(long nowMillis) {
    runnerRegistry.removeExpired(nowMillis, RUNNER_RETENTION_MILLIS);
    presentRunners = runnerRegistry.present();
    fleetView.removeStaleEntries(nowMillis);
    runnerStates.runMaintenance(runnerRegistry.incarnationKeys(), nowMillis);
    requestCoordinator.publishMetrics(nowMillis);
  }

  private Optional<RunnerEntry> findRunner(String key) {
    return runnerRegistry.findByKey(key);
  }

  private void stateChanged() {
    heartbeats.changed();
  }

  private void reportMissingAdapter(String runner, String target, long nowMillis) {
    holderService.recordMissingAdapter(runner, target, nowMillis);
    demandSender.reportRefusal(runner, target);
  }

  private void applyRoutingTable(RoutingTable table) {
    fleetView.table(table);
    allowances.updateAllowances(table.workspaces().all(), MonotonicClock.SYSTEM.nowMillis());
    callerLimits = table.limits();
    callerServer.apply(table.limits());
  }

  private String operatorPage(String path) {
    return path.equals(StatusPage.PATH)
        ? StatusPage.render(
            hostSettings.host(),
            ready && !leaving,
            runnerPath.isLost(),
            storeRegistry.status(),
            runnerStates.status(),
            runnerStates.capacities(),
            runnerStates.statements(),
            runnerSpeeds.status(),
            quarantineGate.status(),
            presentRunners)
        : MetricsText.render(metrics);
  }

  private void requestArrived(CallerExchange request) {
    callerAddresses.recordRequest(MonotonicClock.SYSTEM.nowMillis());
    requestCoordinator.handle(request);
  }

  private void refreshAddresses(long nowMillis) {
    ready = storeRegistry.isInitialized();
    advertisedAddresses =
        callerAddresses.advertised(ready && !leaving, runnerPath.isLost(), nowMillis);
  }

  /**
   * Passes a datagram to the decision thread. If that thread's queue is full, the datagram is
   * dropped without a log line, as if the network had lost it.
   *
   * <p>In a large fleet the states and digests of other hosts, which arrive many times a second,
   * wait for the next tick: each wake-up of the thread costs more than their processing. A host
   * that stands by receives few of them, and its ticks are too rare to wait for.
   */
  private void datagramReceived(String ip, PeerDatagram datagram) {
    Runnable handling = () -> handleDatagram(ip, datagram);
    if (fleetLarge && !standingBy && (datagram.hasState() || datagram.hasDigest())) {
      decisionThread.offerDeferred(handling);
    } else {
      decisionThread.offer(handling);
    }
  }

  private void handleDatagram(String ip, PeerDatagram datagram) {
    long now = MonotonicClock.SYSTEM.nowMillis();
    String from = datagram.getHost();
    recordSync.datagramReceived(from, now);
    switch (datagram.getBodyCase()) {
      case STATE -> {
        heartbeats.received(ip, datagram, now);
        terminationExchange.stateReceived(from, datagram.getIncarnation(), ip, now);
      }
      case DIGEST -> {
        heartbeats.receivedDigest(ip, datagram, now);
        recordSync.digestReceived(from, datagram.getDigest(), now);
      }
      case CLAIM -> holderService.handleClaim(from, ip, datagram.getClaim(), now);
      case GRANT -> holderService.handleGrant(from, datagram.getGrant(), now);
      case RELEASE -> holderService.handleRelease(from, datagram.getRelease());
      case DEMAND -> demandReceiver.received(from, ip, datagram.getDemand(), now);
      case PERMIT_REQUEST ->
          permitExchange.receivedRequest(
              from, datagram.getIncarnation(), datagram.getPermitRequest(), now);
      case PERMIT_GRANTS ->
          permitExchange.receivedGrants(
              from, datagram.getIncarnation(), datagram.getPermitGrants(), now);
      case STREAM_ORIGIN, STREAM_ORIGIN_RECEIVED, STREAM_ORIGIN_QUERY, STREAM_ORIGIN_ANSWER ->
          originExchange.received(ip, datagram, now);
      case ENDS -> terminationExchange.received(from, ip, datagram.getEnds(), now);
      default ->
          log.warning(
              "datagram-dropped",
              "from",
              from,
              "why",
              "unknown body; check that all hosts run the same version");
    }
  }

  private void applySignals(RunnerEntry runner, RunnerSignals signals) {
    decisionThread.put(
        () -> runnerStates.replyReceived(runner.id(), signals, MonotonicClock.SYSTEM.nowMillis()));
  }

  private void handleState(String from, HostState state) {
    long now = MonotonicClock.SYSTEM.nowMillis();
    fleetLoad.update(
        from, StateCodec.decodeLoads(state.getLoadsList()), state.getLoadsComplete(), now);
    StateCodec.decodeHoldings(from, state, now).forEach(holdings::update);
    recordSync.readingReceived(from, state, now);
    handleRecordRevisions(from, state);
  }

  private void handleRecordRevisions(String from, HostState state) {
    recordSync.stateReceived(from, state, MonotonicClock.SYSTEM.nowMillis());
  }

  private void addReadStatement(Digest.Builder digest, long nowMillis) {
    recordSync.addStatement(digest, nowMillis);
  }

  /**
   * Applies records as if another host had sent them without stating up to which revisions they are
   * complete.
   */
  void applyRecords(List<StoredItem> items) {
    recordsReceived(PulledRecords.incomplete(hostSettings.ip(), items));
  }

  private void recordsReceived(PulledRecords pulled) {
    decisionThread.put(() -> recordSync.recordsReceived(pulled, MonotonicClock.SYSTEM.nowMillis()));
  }

  private HostState.Builder newState(boolean withHoldings, boolean complete) {
    long now = MonotonicClock.SYSTEM.nowMillis();
    HostState.Builder state =
        HostState.newBuilder()
            .setIp(hostSettings.ip())
            .setFailureDomain(hostSettings.failureDomain())
            .setProcessor(hostSettings.processorPercent())
            .setFirstStart(hostSettings.firstStart())
            .setCallerAddress(callerAddresses.ownAddress())
            .setRequestsPerSecond(callerAddresses.requestsPerSecond(now))
            .setReady(ready && !leaving)
            .setLeaving(leaving)
            .setRunnersUnreachable(runnerPath.isLost())
            .setAsksCommittee(true)
            .setFleetSize(1 + members.reachable(now).size())
            .setKeptRecords(storeRegistry.keptChecksum());
    StateCodec.setPositions(
        state, storeRegistry.newestOperatorPosition(), storeRegistry.newestRunnersPosition());
    recordSync.addReading(state, now);
    state.setLoadsComplete(complete);
    StateCodec.addLoads(state, complete ? advertisedUses.all() : advertisedUses.changed());
    Set<String> advertised =
        leaving || !withHoldings ? Set.of() : holderService.advertisedRunners(now);
    for (String runner : advertised) {
      holdings
          .find(runner)
          .ifPresent(h -> state.addHoldings(StateCodec.encodeHolding(runner, h, now)));
    }
    return state;
  }

  private final class PathListener implements RunnerPathMonitor.Listener {
    @Override
    public void pathChanged() {
      stateChanged();
      refreshAddresses(MonotonicClock.SYSTEM.nowMillis());
    }

    @Override
    public void connectionRefused(RunnerEntry runner, long nowMillis) {
      runnerRegistry.recordTermination(runner, nowMillis);
    }
  }
}
