package org.sequoiahub.watcher;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.SplittableRandom;
import org.eclipse.jetty.client.HttpClient;
import org.sequoiahub.platform.ConfigurationClient;
import org.sequoiahub.platform.HostListClient;
import org.sequoiahub.platform.HttpClients;
import org.sequoiahub.runtime.admin.AdminServer;
import org.sequoiahub.runtime.duty.Duty;
import org.sequoiahub.runtime.duty.MonotonicClock;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.settings.Endpoint;
import org.sequoiahub.schema.settings.WatcherSettings;
import org.sequoiahub.schema.wire.Envelope;
import org.sequoiahub.wire.WireClients;
import org.sequoiahub.wire.WireConnection;
import org.sequoiahub.wire.WireServer;
import org.sequoiahub.wire.WireThreads;

/** A running watcher, which owns its threads, ports and clients. */
public final class Watcher implements AutoCloseable {

  private static final int EVENT_QUEUE_CAPACITY = 4_096;
  private static final long TICK_PERIOD_MILLIS = 100;

  private final Duty<WatcherEvent> duty;
  private final SourceReader configuration;
  private final SourceReader hosts;
  private final WireServer server;
  private final WireClients peers;
  private final EventLoopGroup network;
  private final HttpClient http;
  private final AdminServer admin;
  private final EventLog log;

  private Watcher(WatcherSettings settings) throws Exception {
    this.log = new EventLog("watcher", settings.getHostId());
    final MetricRegistry metrics = new MetricRegistry();
    this.network = WireThreads.singleThread("wire");
    this.http = HttpClients.start();
    this.peers = new WireClients(network, settings.getSilenceMs());
    WatcherDuty state =
        new WatcherDuty(settings, peers, new SplittableRandom(System.nanoTime()), metrics, log);
    this.duty =
        new Duty<>(
            "watcher",
            EVENT_QUEUE_CAPACITY,
            () -> TICK_PERIOD_MILLIS,
            state::handle,
            state::tick,
            state::onFailure,
            MonotonicClock.SYSTEM);
    state.attachTo(duty);
    ConfigurationClient service =
        new ConfigurationClient(http, Endpoint.of(settings.getConfigurationService()));
    this.configuration =
        SourceReader.ofConfiguration(service, settings.getWatchWaitMs(), duty::put, metrics, log);
    this.hosts =
        SourceReader.ofHostList(
            new HostListClient(http, Endpoint.of(settings.getHostList())),
            settings.getHostsPeriodMs(),
            duty::put,
            metrics,
            log);
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
            new Inbound());
  }

  /**
   * Starts a watcher: opens its ports and begins to read its sources.
   *
   * @throws IOException if a port cannot be opened
   */
  public static Watcher start(WatcherSettings settings) throws Exception {
    Watcher watcher = new Watcher(settings);
    watcher.duty.start();
    watcher.configuration.start();
    watcher.hosts.start();
    watcher.admin.start();
    watcher.log.info("started", "port", watcher.server.port(), "admin_port", watcher.admin.port());
    return watcher;
  }

  /** Returns the port of the administration interface. */
  public int adminPort() {
    return admin.port();
  }

  @Override
  public void close() throws Exception {
    configuration.close();
    hosts.close();
    server.close();
    duty.close();
    peers.close();
    http.stop();
    admin.close();
    network.shutdownGracefully();
    log.info("stopped");
  }

  private final class Inbound implements WireServer.Handler {
    @Override
    public void onMessage(WireConnection connection, Envelope message) {
      duty.put(new WatcherEvent.MessageReceived(connection, message));
    }

    @Override
    public void onClosed(WireConnection connection) {
      duty.put(new WatcherEvent.ConnectionClosed(connection));
    }
  }
}
