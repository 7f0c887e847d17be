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

  /**
   * The failure rate due to silence and connects that timed out, which the next sign of the runner
   * refutes.
   */
  private double silence;

  private long silentMillis;

  /** Records a successful response and how long it took (ms). */
  public void succeeded(long tookMillis, long nowMillis) {
    failures = decayed(failures, updatedMillis, nowMillis) * (1 - NEWEST_WEIGHT);
    silence = 0;
    updatedMillis = nowMillis;
    latencyMillis =
        latencyMillis == 0
            ? tookMillis
            : latencyMillis + NEWEST_WEIGHT * (tookMillis - latencyMillis);
  }

  /** Records a failure that the runner caused. */
  public void failed(long nowMillis) {
    failures = decayed(failures, updatedMillis, nowMillis) * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    updatedMillis = nowMillis;
  }

  /**
   * Records that the runner is silent for a request. It may be paused or gone: this counts like a
   * failure, but only until {@link #responded}.
   */
  public void silent(long nowMillis) {
    silence = decayed(silence, silentMillis, nowMillis) * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    silentMillis = nowMillis;
  }

  /**
   * Records that a connect to the runner timed out. It may be paused or gone: this counts like a
   * refused connection, but only until {@link #responded}.
   */
  public void connectTimedOut(long nowMillis) {
    silence = 1;
    silentMillis = nowMillis;
  }

  /**
   * Records that a part of a response was received from the runner, so that it is not silent.
   *
   * @param atMillis when it was received; refutes silence that was recorded before
   */
  public void responded(long atMillis) {
    if (atMillis > silentMillis) {
      silence = 0;
    }
  }

  /**
   * Records that the runner may have terminated, for example after a refused connection. A part of
   * a response does not refute this: a runner that shuts down completes what it has begun.
   */
  public void unreachable(long nowMillis) {
    failures = 1;
    updatedMillis = nowMillis;
  }

  /** Returns the fraction of recent requests that failed, from 0 to 1. */
  public double failureRate(long nowMillis) {
    return Math.max(
        decayed(failures, updatedMillis, nowMillis), decayed(silence, silentMillis, nowMillis));
  }

  private static double decayed(double rate, long sinceMillis, long nowMillis) {
    return rate == 0 ? 0 : rate * Math.pow(0.5, (nowMillis - sinceMillis) / HALF_LIFE_MILLIS);
  }

  /** Returns how long recent successful responses took (ms); 0 if there was none. */
  public double latencyMillis() {
    return latencyMillis;
  }
}
