package org.sequoiahub.watcher;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sequoiahub.platform.ConfigurationClient;
import org.sequoiahub.platform.ConfigurationClient.Listing;
import org.sequoiahub.platform.HostListClient;
import org.sequoiahub.runtime.log.EventLog;

/** A thread that reads one of the platform's sources, again and again. */
final class SourceReader implements AutoCloseable {

  private static final long FIRST_PAUSE_MILLIS = 200;
  private static final long LONGEST_PAUSE_MILLIS = 5_000;

  private final String name;
  private final Step step;
  private final long pauseMillis;
  private final Meter failures;
  private final EventLog log;
  private final Thread thread;
  private volatile boolean running = true;

  private SourceReader(
      String name, Step step, long pauseMillis, MetricRegistry metrics, EventLog log) {
    this.name = name;
    this.step = step;
    this.pauseMillis = pauseMillis;
    this.failures = metrics.meter(name + ".failures");
    this.log = log;
    this.thread = new Thread(this::run, name + "-reader");
    this.thread.setDaemon(true);
  }

  @FunctionalInterface
  private interface Step {
    void read() throws IOException, InterruptedException;
  }

  static SourceReader ofConfiguration(
      ConfigurationClient service,
      long waitMillis,
      Consumer<WatcherEvent> events,
      MetricRegistry metrics,
      EventLog log) {
    ServicePosition position = new ServicePosition();
    Meter calls = metrics.meter("configuration.calls");
    Step step =
        () -> {
          calls.mark();
          Listing listing =
              position.listed ? service.watch(position.revision, waitMillis) : service.list();
          position.advance(listing);
          events.accept(new WatcherEvent.ListingRead(listing));
        };
    return new SourceReader("configuration", step, 0, metrics, log);
  }

  static SourceReader ofHostList(
      HostListClient hosts,
      long periodMillis,
      Consumer<WatcherEvent> events,
      MetricRegistry metrics,
      EventLog log) {
    return new SourceReader(
        "hosts",
        () -> events.accept(new WatcherEvent.HostListRead(hosts.read())),
        periodMillis,
        metrics,
        log);
  }

  void start() {
    thread.start();
  }

  @Override
  public void close() {
    running = false;
    thread.interrupt();
  }

  private void run() {
    long backoff = FIRST_PAUSE_MILLIS;
    while (running) {
      try {
        step.read();
        backoff = FIRST_PAUSE_MILLIS;
        TimeUnit.MILLISECONDS.sleep(pauseMillis);
      } catch (InterruptedException e) {
        return;
      } catch (IOException | RuntimeException e) {
        failures.mark();
        log.warning("source-unreachable", "source", name, "error", e.getMessage());
        backoff = pauseAfterFailure(backoff);
      }
    }
  }

  private long pauseAfterFailure(long backoff) {
    try {
      TimeUnit.MILLISECONDS.sleep(backoff);
    } catch (InterruptedException e) {
      running = false;
    }
    return Math.min(LONGEST_PAUSE_MILLIS, backoff * 2);
  }

  /**
   * Where this reader stands in the service's history.
   *
   * <p>A service that answers below this position comes from an older replica. The position then
   * stays, and the changes in that answer are still offered: each is judged by its own revision.
   */
  private static final class ServicePosition {
    private boolean listed;
    private long revision;

    void advance(Listing listing) {
      listed = true;
      revision = Math.max(revision, listing.revision());
    }
  }
}
