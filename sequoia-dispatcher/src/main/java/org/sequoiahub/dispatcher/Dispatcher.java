package org.sequoiahub.dispatcher;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.core.record.DefaultRecordParser;
import org.sequoiahub.platform.EngineClient;
import org.sequoiahub.platform.HttpClients;
import org.sequoiahub.platform.ServiceClient;
import org.sequoiahub.runtime.admin.AdminServer;
import org.sequoiahub.runtime.duty.DeferredInbox;
import org.sequoiahub.runtime.duty.Duty;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.runtime.trace.Tracing;
import org.sequoiahub.schema.settings.DispatcherSettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.LocalView;
import org.sequoiahub.wire.ViewFeed;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireConnection;
import org.sequoiahub.wire.WireServer;
import org.sequoiahub.wire.WireThreads;

/** A running dispatcher, which owns its thread, ports and clients and closes them. */
public final class Dispatcher implements AutoCloseable {

  private static final int EVENT_QUEUE_CAPACITY = 65_536;
  private static final long TICK_INTERVAL_MILLIS = 25;

  private final DispatcherSettings settings;
  private final EventLog log;
  private final EventLoopGroup network;
  private final HttpClient http;
  private final WireClients clients;
  private final Tracing tracing;
  private final Duty<DispatcherEvent> duty;
  private final WireServer server;
  private final AdminServer admin;

  private Dispatcher(DispatcherSettings settings) throws Exception {
    this.settings = settings;
    this.log = new EventLog("dispatcher", settings.getHostId());
    final MetricRegistry metrics = new MetricRegistry();
    this.network = WireThreads.singleThread("wire");
    this.http = HttpClients.start();
    this.clients = new WireClients(network, settings.getSilenceMs());
    this.tracing =
        Tracing.create(settings.getTraces(), settings.getOtlpEndpoint(), "dispatcher", log);
    DeferredInbox<DispatcherEvent> events = new DeferredInbox<>();
    DispatcherDuty state = createDuty(metrics, events);
    ViewFeed feed =
        new ViewFeed(
            clients.clientOf(Endpoint.of(settings.getWatcher())),
            true,
            update -> events.accept(new DispatcherEvent.ViewUpdated(update)));
    this.duty =
        new Duty<>(
            "dispatcher",
            EVENT_QUEUE_CAPACITY,
            () -> TICK_INTERVAL_MILLIS,
            state::handle,
            now -> {
              feed.tick(now);
              state.tick(now);
            },
            state::logFailure,
            MonotonicClock.SYSTEM);
    events.forwardTo(duty);
    this.admin =
        new AdminServer(
            settings.getBindAddress(),
            settings.getAdminPort(),
            metrics,
            state::isReady,
            state::status);
    this.server =
        WireServer.open(
            network,
            settings.getBindAddress(),
            settings.getPort(),
            settings.getSilenceMs(),
            new InboundHandler());
  }

  /**
   * Starts a dispatcher.
   *
   * @throws IOException if a port cannot be opened
   */
  public static Dispatcher start(DispatcherSettings settings) throws Exception {
    Dispatcher dispatcher = new Dispatcher(settings);
    dispatcher.duty.start();
    dispatcher.admin.start();
    dispatcher.log.info(
        "started", "port", dispatcher.server.port(), "admin_port", dispatcher.admin.port());
    return dispatcher;
  }

  /** Stops admitting requests, releases the runners, waits for running requests, then stops. */
  @Override
  public void close() throws Exception {
    CountDownLatch drained = new CountDownLatch(1);
    duty.put(new DispatcherEvent.Stop(drained::countDown));
    log.info("stopping");
    if (!drained.await(settings.getShutdownGraceMs(), TimeUnit.MILLISECONDS)) {
      log.warning("stopped-with-requests-in-progress");
    }
    server.close();
    duty.close();
    clients.close();
    http.stop();
    admin.close();
    tracing.close();
    network.shutdownGracefully();
    log.info("stopped");
  }

  private DispatcherDuty createDuty(MetricRegistry metrics, Consumer<DispatcherEvent> events) {
    long incarnation = new SecureRandom().nextLong();
    long now = MonotonicClock.SYSTEM.nowMillis();
    String holder = settings.getHostId() + "/" + Long.toHexString(incarnation);
    EngineClient engines = new EngineClient(http);
    LocalView view = new LocalView(new DefaultRecordParser());
    LeaseService leases = new LeaseService(settings, holder, clients, events, now);
    LoadTurnService turns = new LoadTurnService(settings, clients, events, metrics);
    OwnedRunnerController runners =
        new OwnedRunnerController(
            settings, (int) incarnation, engines, leases, turns, events, metrics, log);
    JobScheduler jobs = new JobScheduler(settings, engines, runners, events, tracing, metrics, log);
    ServiceForwarder services =
        new ServiceForwarder(
            settings, incarnation, new ServiceClient(http), events, tracing, metrics, log);
    return new DispatcherDuty(
        settings,
        view,
        runners,
        jobs,
        services,
        leases,
        turns,
        MonotonicClock.SYSTEM,
        metrics,
        log);
  }

  private final class InboundHandler implements WireServer.Handler {
    @Override
    public void onMessage(WireConnection connection, Envelope message) {
      duty.put(new DispatcherEvent.MessageReceived(connection, message));
    }

    @Override
    public void onClosed(WireConnection connection) {
      duty.put(new DispatcherEvent.ConnectionClosed(connection));
    }
  }
}
