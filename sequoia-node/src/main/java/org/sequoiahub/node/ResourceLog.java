package org.sequoiahub.node;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sequoiahub.runtime.log.EventLog;
import org.sequoiahub.runtime.process.ProcessorTimes;

/**
 * Logs periodically how much processor time the process has used, by thread, beside the counts of
 * what it has done. The difference of two lines tells whether a host's cost follows its requests.
 */
final class ResourceLog {

  /** Interval between two lines (ms); reading the times takes a few system calls a thread. */
  private static final long PERIOD_MILLIS = 10_000;

  /** Threads that have used less are not listed (ms). */
  private static final long MIN_LISTED_MILLIS = 10;

  /** The counters that each line repeats; a counter that does not exist yet is 0. */
  private static final List<String> COUNTERS =
      List.of("requests.accepted", "datagrams.received", "datagrams.sent");

  private final ProcessorTimes times;
  private final MetricRegistry metrics;
  private final EventLog log;

  ResourceLog(ProcessorTimes times, MetricRegistry metrics, EventLog log) {
    this.times = requireNonNull(times, "times must not be null");
    this.metrics = requireNonNull(metrics, "metrics must not be null");
    this.log = requireNonNull(log, "log must not be null");
  }

  /** Starts to log periodically, on a thread of its own. */
  void start() {
    Thread thread = new Thread(this::run, "resources");
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes a line; without the times if they cannot be read. */
  void write() {
    Map<String, Long> millisByThread = Map.of();
    try {
      millisByThread = times.readMillis();
    } catch (IOException e) {
      log.debug("processor-time-unknown", "why", e);
    }
    Object[] pairs = new Object[2 * (2 + COUNTERS.size())];
    pairs[0] = "processor_ms";
    pairs[1] = millisByThread.values().stream().mapToLong(Long::longValue).sum();
    pairs[2] = "threads";
    pairs[3] = describe(millisByThread);
    for (int i = 0; i < COUNTERS.size(); i++) {
      pairs[4 + 2 * i] = COUNTERS.get(i).replace('.', '_');
      pairs[5 + 2 * i] = metrics.counter(COUNTERS.get(i)).getCount();
    }
    log.info("resources", pairs);
  }

  private static String describe(Map<String, Long> millisByThread) {
    return millisByThread.entrySet().stream()
        .filter(entry -> entry.getValue() >= MIN_LISTED_MILLIS)
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .map(entry -> entry.getKey() + ":" + entry.getValue())
        .collect(Collectors.joining(","));
  }

  private void run() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS);
        write();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
