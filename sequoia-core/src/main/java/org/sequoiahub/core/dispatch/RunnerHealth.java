package org.sequoiahub.core.dispatch;

/**
 * Tracks the failure rate and the latency of this host's requests at one runner. Results of
 * requests are used because a health check can succeed while requests fail.
 */
public final class RunnerHealth {

  /** Weight of the newest result in the average; about the last eight results dominate it. */
  private static final double NEWEST_WEIGHT = 0.12;

  /** Half-life of the failure rate (ms), so that a failed runner is tried again. */
  private static final double HALF_LIFE_MILLIS = 1_500;

  private double failures;
  private double latencyMillis;
  private long updatedMillis;

  /** Records a successful response and how long it took (ms). */
  public void succeeded(long tookMillis, long nowMillis) {
    failures = failureRate(nowMillis) * (1 - NEWEST_WEIGHT);
    updatedMillis = nowMillis;
    latencyMillis =
        latencyMillis == 0
            ? tookMillis
            : latencyMillis + NEWEST_WEIGHT * (tookMillis - latencyMillis);
  }

  /** Records a failure that the runner caused. */
  public void failed(long nowMillis) {
    failures = failureRate(nowMillis) * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    updatedMillis = nowMillis;
  }

  /** Records that the runner may have terminated, for example after a refused connection. */
  public void unreachable(long nowMillis) {
    failures = 1;
    updatedMillis = nowMillis;
  }

  /** Returns the fraction of recent requests that failed, from 0 to 1. */
  public double failureRate(long nowMillis) {
    return failures * Math.pow(0.5, (nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
  }

  /** Returns how long recent successful responses took (ms); 0 if there was none. */
  public double latencyMillis() {
    return latencyMillis;
  }
}
