package org.sequoiahub.standins;

import java.io.IOException;
import java.util.Map;

/**
 * Simulates a weight store with limited capacity.
 *
 * <p>A load runs at full speed only while no other is active, and a limited number of loads start
 * per second.
 */
public final class WeightStoreStandin extends StandinServer {

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long startIntervalMillis;
  private int activeLoads;
  private long nextStartMillis = Long.MIN_VALUE;
  private double slowdownFactor = 1;

  /** Creates a store on {@code port} that starts at most {@code loadsPerSecond}. */
  public WeightStoreStandin(int port, int loadsPerSecond) {
    super(port);
    this.startIntervalMillis = MILLIS_PER_SECOND / loadsPerSecond;
  }

  @Override
  void handle(Exchange exchange) throws IOException {
    if (exchange.path().equals("/faults")) {
      double requested = exchange.json().path("slowness").asDouble(1);
      synchronized (this) {
        slowdownFactor = requested;
      }
      exchange.respond(200, Map.of());
    } else {
      exchange.respond(200, status());
    }
  }

  /**
   * Begins a load and returns its duration in milliseconds, which grows with the number of active
   * loads and includes the wait for a start within the rate limit.
   */
  synchronized long beginLoad(long fullSpeedMillis) {
    activeLoads++;
    long now = System.nanoTime() / NANOS_PER_MILLI;
    long start = Math.max(now, nextStartMillis);
    nextStartMillis = start + startIntervalMillis;
    return start - now + Math.round(fullSpeedMillis * activeLoads * slowdownFactor);
  }

  synchronized void endLoad() {
    activeLoads--;
  }

  private synchronized Map<String, Object> status() {
    return Map.of("active", activeLoads);
  }
}
