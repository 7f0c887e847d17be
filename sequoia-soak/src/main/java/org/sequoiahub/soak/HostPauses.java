package org.sequoiahub.soak;

import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Pauses host processes for about as long as callers wait, in overlapping series. */
final class HostPauses {

  private static final long INTERVAL_MILLIS = 150;
  private static final int MIN_PAUSE_MILLIS = 50;
  private static final int MAX_PAUSE_MILLIS = 900;

  private final List<HostProcess> hosts;
  private final Random random;
  private final ScheduledExecutorService scheduler;
  private @Nullable ScheduledFuture<?> series;

  /**
   * Creates a series that is not started yet.
   *
   * @param random draws the hosts and the lengths of their pauses
   */
  HostPauses(List<HostProcess> hosts, Random random, ScheduledExecutorService scheduler) {
    this.hosts = hosts;
    this.random = random;
    this.scheduler = scheduler;
  }

  /** Starts the series. */
  void start() {
    series =
        scheduler.scheduleAtFixedRate(this::pauseNext, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Ends the series; pauses in progress still end by themselves. */
  void stop() {
    ScheduledFuture<?> started = series;
    if (started != null) {
      started.cancel(false);
    }
  }

  private void pauseNext() {
    HostProcess host = hosts.get(random.nextInt(hosts.size()));
    int millis = MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS);
    host.trySignal("STOP");
    scheduler.schedule(() -> host.trySignal("CONT"), millis, TimeUnit.MILLISECONDS);
  }
}
