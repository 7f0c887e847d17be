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

/**
 * Polls one of the platform's sources on a thread of its own.
 *
 * <p>A failed read is logged, counted, and retried with exponential backoff.
 */
final class SourceReader implements AutoCloseable {

  private static final long INITIAL_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 5_000;

  private final String name;
  private final Poll poll;
  private final long periodMillis;
  private final Meter failures;
  private final EventLog log;
  private final Thread thread;
  private volatile boolean running = true;

  private SourceReader(
      String name, Poll poll, long periodMillis, MetricRegistry metrics, EventLog log) {
    this.name = name;
    this.poll = poll;
    this.periodMillis = periodMillis;
    this.failures = metrics.meter(name + ".failures");
    this.log = log;
    this.thread = new Thread(this::run, name + "-reader");
    this.thread.setDaemon(true);
  }

  @FunctionalInterface
  private interface Poll {
    void execute() throws IOException, InterruptedException;
  }

  /**
   * Creates a reader that lists the configuration once and then watches it for changes.
   *
   * @param waitMillis how long the service may hold one watch call open (ms)
   */
  static SourceReader ofConfiguration(
      ConfigurationClient service,
      long waitMillis,
      Consumer<WatcherEvent> events,
      MetricRegistry metrics,
      EventLog log) {
    ServicePosition position = new ServicePosition();
    Meter calls = metrics.meter("configuration.calls");
    Poll poll =
        () -> {
          calls.mark();
          Listing listing =
              position.listed ? service.watch(position.revision, waitMillis) : service.list();
          position.advance(listing);
          events.accept(new WatcherEvent.ListingRead(listing));
        };
    return new SourceReader("configuration", poll, 0, metrics, log);
  }

  /**
   * Creates a reader that waits {@code periodMillis} after each successful read of the host list.
   */
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
    long backoffMillis = INITIAL_BACKOFF_MILLIS;
    while (running) {
      try {
        poll.execute();
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        TimeUnit.MILLISECONDS.sleep(periodMillis);
      } catch (InterruptedException e) {
        return;
      } catch (IOException | RuntimeException e) {
        failures.mark();
        log.warning("source-unreachable", "source", name, "error", e.getMessage());
        backoffMillis = backOff(backoffMillis);
      }
    }
  }

  private long backOff(long backoffMillis) {
    try {
      TimeUnit.MILLISECONDS.sleep(backoffMillis);
    } catch (InterruptedException e) {
      running = false;
    }
    return Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
  }

  /**
   * The highest service revision that this reader has read.
   *
   * <p>A response with a lower revision comes from an older replica. It does not move the position
   * back, and its records are still passed on, because each is accepted or ignored by its own
   * revision.
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
