package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * This host's part of a retry budget that all hosts share, for each service.
 *
 * <p>When everything fails, retries multiply the load on what is left; the sign is more arrivals at
 * runners than requests. Nobody counts for all hosts: each keeps to a share of the requests that it
 * took itself, plus an equal part of the fixed allowance. The parts add up to no more than the
 * whole, as long as no host believes the fleet to be smaller than it is.
 */
public final class SharedRetryBudget {

  /**
   * Part of the allowed figures that is used. A host that restarts forgets what it spent; the rest
   * covers one restart of a host in the window.
   */
  private static final double USED_PART = 0.8;

  private static final int BUCKETS = 10;

  private final double ratio;
  private final double allowance;
  private final long bucketMillis;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Creates a budget.
   *
   * @param ratio retries allowed for each request
   * @param allowance retries allowed besides, over all hosts
   * @param windowMillis the time over which both are counted
   */
  public SharedRetryBudget(double ratio, double allowance, long windowMillis) {
    checkArgument(ratio >= 0, "ratio must not be negative, was %s", ratio);
    checkArgument(allowance >= 0, "allowance must not be negative, was %s", allowance);
    checkArgument(windowMillis >= BUCKETS, "windowMillis must be %s or more", BUCKETS);
    this.ratio = ratio;
    this.allowance = allowance;
    this.bucketMillis = windowMillis / BUCKETS;
  }

  /** Counts a request of a service. */
  public void request(String service, long nowMillis) {
    window(service, nowMillis).requests[0]++;
  }

  /**
   * Takes one retry; false if none is left.
   *
   * @param hosts how many hosts share the budget, this one included
   */
  public boolean tryRetry(String service, int hosts, long nowMillis) {
    checkArgument(hosts > 0, "hosts must be above 0, was %s", hosts);
    Window window = window(service, nowMillis);
    if (window.retries() + 1 > allowed(window, hosts)) {
      return false;
    }
    window.retries[0]++;
    return true;
  }

  /** Returns the retries taken and allowed in the present window. */
  public Usage usage(String service, int hosts, long nowMillis) {
    Window window = window(service, nowMillis);
    return new Usage(window.retries(), allowed(window, hosts));
  }

  /** Retries taken and allowed. */
  public record Usage(long taken, double allowed) {}

  private double allowed(Window window, int hosts) {
    return USED_PART * (ratio * window.requests() + allowance / hosts);
  }

  private Window window(String service, long nowMillis) {
    Window window = windows.computeIfAbsent(service, s -> new Window(nowMillis / bucketMillis));
    window.advanceTo(nowMillis / bucketMillis);
    return window;
  }

  /** Counts of the last window, the newest bucket first; one bucket more than a window holds. */
  private static final class Window {
    private final long[] requests = new long[BUCKETS + 1];
    private final long[] retries = new long[BUCKETS + 1];
    private long bucket;

    Window(long bucket) {
      this.bucket = bucket;
    }

    void advanceTo(long present) {
      for (; bucket < present && present - bucket <= BUCKETS; bucket++) {
        System.arraycopy(requests, 0, requests, 1, BUCKETS);
        System.arraycopy(retries, 0, retries, 1, BUCKETS);
        requests[0] = 0;
        retries[0] = 0;
      }
      if (bucket < present) {
        java.util.Arrays.fill(requests, 0);
        java.util.Arrays.fill(retries, 0);
        bucket = present;
      }
    }

    /** Requests of whole buckets only: a window that is cut short must not allow more. */
    long requests() {
      long sum = 0;
      for (int i = 0; i < BUCKETS; i++) {
        sum += requests[i];
      }
      return sum;
    }

    long retries() {
      long sum = 0;
      for (long count : retries) {
        sum += count;
      }
      return sum;
    }
  }
}
