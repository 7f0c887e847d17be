package org.sequoiahub.core.dispatch;

/**
 * How a runner has treated this host's requests: the measure is results, as a health answer can be
 * good while requests fail.
 */
public final class RunnerHealth {

  /** Weight of the newest result; about the last eight results decide. */
  private static final double NEWEST_WEIGHT = 0.12;

  /** Failures are forgiven by half in this time (ms), so that a runner is tried again. */
  private static final double HALF_LIFE_MILLIS = 1_500;

  private double failures;
  private double latencyMillis;
  private long updatedMillis;

  /** Records a good result and how long it took. */
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

  /** Records a sign that the runner may be gone, such as a refused connection. */
  public void unreachable(long nowMillis) {
    failures = 1;
    updatedMillis = nowMillis;
  }

  /** Returns the part of recent requests that failed, from 0 to 1. */
  public double failureRate(long nowMillis) {
    return failures * Math.pow(0.5, (nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
  }

  /** Returns how long good results took lately (ms); 0 if there was none. */
  public double latencyMillis() {
    return latencyMillis;
  }
}
