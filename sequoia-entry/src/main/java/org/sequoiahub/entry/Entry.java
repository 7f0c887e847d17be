package org.sequoiahub.entry;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahub.core.record.DefaultRecordParser;
import org.sequoiahub.core.route.RouteSettings;
import org.sequoiahub.runtime.admin.AdminServer;
import org.sequoiahub.runtime.duty.DeferredInbox;
import org.sequoiahub.runtime.duty.Duty;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.runtime.trace.Tracing;
import org.sequoiahub.schema.settings.EntrySettings;
import org.sequoiahub.wire.LocalView;
import org.sequoiahub.wire.ViewFeed;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireThreads;

/** The entry process: accepts requests of callers over HTTP and routes them to dispatchers. */
public final class Entry implements AutoCloseable {

  private static final int EVENT_QUEUE_CAPACITY = 65_536;
  private static final long TICK_INTERVAL_MILLIS = 25;
  private static final int MAX_HTTP_THREADS = 16;
  private static final int MIN_HTTP_THREADS = 4;
  private static final int MAX_HEADER_BYTES = 16 << 10;
  private static final int CONNECTIONS_PER_REQUEST = 2;
  private static final long IDLE_GRACE_MILLIS = 30_000;

  private final EntrySettings settings;
  private final EventLog log;
  private final EventLoopGroup network;
  private final WireClients clients;
  private final Tracing tracing;
  private final Duty<EntryEvent> duty;
  private final Server server;
  private final ServerConnector connector;
  private final AdminServer admin;

  private Entry(EntrySettings settings) {
    this.settings = settings;
    this.log = new EventLog("entry", settings.getHostId());
    final MetricRegistry metrics = new MetricRegistry();
    this.network = WireThreads.singleThread("wire");
    this.clients = new WireClients(network, settings.getSilenceMs());
    this.tracing = Tracing.create(settings.getTraces(), settings.getOtlpEndpoint(), "entry", log);
    DeferredInbox<EntryEvent> events = new DeferredInbox<>();
    EntryDuty entryDuty = createDuty(metrics, events);
    ViewFeed feed =
        new ViewFeed(
            clients.clientOf(Endpoint.of(settings.getWatcher())),
            false,
            update -> events.accept(new EntryEvent.ViewUpdated(update)));
    this.duty =
        new Duty<>(
            "entry",
            EVENT_QUEUE_CAPACITY,
            () -> TICK_INTERVAL_MILLIS,
            entryDuty::handle,
            now -> {
              feed.tick(now);
              entryDuty.tick(now);
            },
            entryDuty::logFailure,
            MonotonicClock.SYSTEM);
    events.forwardTo(duty);
    this.admin =
        new AdminServer(
            settings.getBindAddress(),
            settings.getAdminPort(),
            metrics,
            entryDuty::isReady,
            entryDuty::status);
    QueuedThreadPool threads = new QueuedThreadPool(MAX_HTTP_THREADS, MIN_HTTP_THREADS);
    threads.setName("http");
    threads.setDaemon(true);
    this.server = new Server(threads);
    this.connector = connector();
    server.addConnector(connector);
    // Each connection holds buffers. Without a limit, a burst of callers fills the heap, and an
    // out-of-memory error ends the process and every stream through it.
    server.addBean(
        new NetworkConnectionLimit(CONNECTIONS_PER_REQUEST * settings.getMaxInFlight(), connector));
    server.setErrorHandler(new EntryErrorHandler());
    server.setHandler(new EntryHandler(settings, duty, tracing, createRequestIdSource()));
  }

  /**
   * Starts an entry.
   *
   * @throws IOException if a port cannot be opened
   */
  public static Entry start(EntrySettings settings) throws Exception {
    Entry entry = new Entry(settings);
    entry.duty.start();
    entry.admin.start();
    entry.server.start();
    entry.log.info(
        "started", "port", entry.connector.getLocalPort(), "admin_port", entry.admin.port());
    return entry;
  }

  /**
   * Refuses new requests, waits up to the shutdown grace period for those in progress, and stops.
   */
  @Override
  public void close() throws Exception {
    CountDownLatch drained = new CountDownLatch(1);
    duty.put(new EntryEvent.Stop(drained::countDown));
    log.info("stopping");
    if (!drained.await(settings.getShutdownGraceMs(), TimeUnit.MILLISECONDS)) {
      log.warning("stopped-with-requests-in-progress");
    }
    server.stop();
    duty.close();
    clients.close();
    admin.close();
    tracing.close();
    network.shutdownGracefully();
    log.info("stopped");
  }

  private ServerConnector connector() {
    HttpConfiguration http = new HttpConfiguration();
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setSendServerVersion(false);
    ServerConnector open = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    open.setHost(settings.getBindAddress());
    open.setPort(settings.getHttpPort());
    // The connection of a queued request is idle while it waits and must not be closed for that.
    open.setIdleTimeout(settings.getRequestTimeoutMs() + IDLE_GRACE_MILLIS);
    return open;
  }

  private EntryDuty createDuty(MetricRegistry metrics, Consumer<EntryEvent> events) {
    LocalView view = new LocalView(new DefaultRecordParser());
    DispatcherDirectory dispatchers = new DispatcherDirectory(clients);
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    RouteSettings routing =
        settings.getDeployment().equals("dhuwaan")
            ? RouteSettings.dhuwaan()
            : RouteSettings.ashcombe();
    InFlightRequests requests =
        new InFlightRequests(
            settings,
            view,
            dispatchers,
            new AttemptListenerFactory(events),
            routing,
            random.split(),
            tracing,
            metrics,
            log);
    ServiceFrontEnd services =
        new ServiceFrontEnd(settings, view, dispatchers, events, random.split(), tracing);
    return new EntryDuty(
        settings, view, requests, services, dispatchers, MonotonicClock.SYSTEM, metrics, log);
  }

  /** Creates a source of request ids that are unique in the fleet. */
  private Supplier<String> createRequestIdSource() {
    String incarnation = Long.toHexString(new SecureRandom().nextLong());
    AtomicLong last = new AtomicLong();
    return () -> settings.getHostId() + "-" + incarnation + "-" + last.incrementAndGet();
  }
}
