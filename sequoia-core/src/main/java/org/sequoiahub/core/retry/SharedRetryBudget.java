package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * This host's share of a retry budget per service that all hosts keep together.
 *
 * <p>When everything fails, retries multiply the load on the remaining capacity; the symptom is
 * more arrivals at runners than requests. There is no central counter: each host keeps to the ratio
 * of the requests that it received itself, plus an equal share of the fixed allowance.
 *
 * <p>A process that terminates loses its counts, and its successor might spend the same budget
 * again within the same window. A process that may have a predecessor therefore uses a separate
 * fraction of the budget while it is younger than a window. It earns that fraction by its own
 * requests and its age, so that any number of restarts in one window add up to no more than the
 * fraction.
 */
public final class SharedRetryBudget {

  /**
   * The fraction of the budget for processes that know everything their host spent in the window.
   */
  private static final double FULL_HISTORY_FRACTION = 0.65;

  /**
   * The fraction of the budget for processes that don't know what their host spent before; what
   * remains of the budget covers retries that arrive late.
   */
  private static final double PARTIAL_HISTORY_FRACTION = 0.3;

  private static final int BUCKETS = 10;

  private final RetryBudgetSettings settings;
  private final long bucketMillis;
  private final long startedMillis;
  private final boolean firstProcessOfHost;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Creates a budget.
   *
   * @param startedMillis when this process started
   * @param firstProcessOfHost whether no process ran on this host before
   */
  public SharedRetryBudget(
      RetryBudgetSettings settings, long startedMillis, boolean firstProcessOfHost) {
    this.settings = requireNonNull(settings, "settings must not be null");
    checkArgument(
        settings.windowMillis() >= BUCKETS,
        "windowMillis must be %s or more, was %s",
        BUCKETS,
        settings.windowMillis());
    this.bucketMillis = settings.windowMillis() / BUCKETS;
    this.startedMillis = startedMillis;
    this.firstProcessOfHost = firstProcessOfHost;
  }

  /** Counts a request to a service. */
  public void recordRequest(String service, long nowMillis) {
    window(service, nowMillis).requests[0]++;
  }

  /**
   * Acquires one retry.
   *
   * @param hosts how many hosts share the budget, this one included; 0 if that is not known
   * @return false if no retry is left
   */
  public boolean tryAcquireRetry(String service, int hosts, long nowMillis) {
    if (!canRetry(service, hosts, nowMillis)) {
      return false;
    }
    window(service, nowMillis).retries[0]++;
    return true;
  }

  /** Returns whether {@link #tryAcquireRetry} would succeed now. */
  public boolean canRetry(String service, int hosts, long nowMillis) {
    Usage usage = usage(service, hosts, nowMillis);
    return usage.taken() + 1 <= usage.allowed();
  }

  /** Returns the retries taken and allowed in the current window. */
  public Usage usage(String service, int hosts, long nowMillis) {
    checkArgument(hosts >= 0, "hosts must not be negative, was %s", hosts);
    Window window = window(service, nowMillis);
    return new Usage(window.retries(), allowed(window, hosts, nowMillis));
  }

  /** Returns the services for which requests or retries were counted. */
  public Set<String> services() {
    return Set.copyOf(windows.keySet());
  }

  /** The retries taken and allowed in the current window. */
  public record Usage(long taken, double allowed) {}

  private double allowed(Window window, int hosts, long nowMillis) {
    double earned = settings.ratio() * window.requests();
    // A host that sees no other host may be one of many that see none, so it gets no allowance.
    double share = hosts == 0 ? 0 : settings.allowance() / hosts;
    long age = nowMillis - startedMillis;
    if (firstProcessOfHost || age > settings.windowMillis() + bucketMillis) {
      return FULL_HISTORY_FRACTION * (earned + share);
    }
    return PARTIAL_HISTORY_FRACTION
        * (earned + share * Math.min(1, (double) age / settings.windowMillis()));
  }

  private Window window(String service, long nowMillis) {
    Window window = windows.computeIfAbsent(service, s -> new Window(nowMillis / bucketMillis));
    window.advanceTo(nowMillis / bucketMillis);
    return window;
  }

  /**
   * Counts of requests and retries in the last window, in buckets with the newest first. A window
   * of ten buckets touches eleven, as it starts within the oldest one.
   */
  private static final class Window {
    private final long[] requests = new long[BUCKETS + 1];
    private final long[] retries = new long[BUCKETS + 1];
    private long bucket;

    Window(long bucket) {
      this.bucket = bucket;
    }

    void advanceTo(long currentBucket) {
      for (; bucket < currentBucket && currentBucket - bucket <= BUCKETS; bucket++) {
        System.arraycopy(requests, 0, requests, 1, BUCKETS);
        System.arraycopy(retries, 0, retries, 1, BUCKETS);
        requests[0] = 0;
        retries[0] = 0;
      }
      if (bucket < currentBucket) {
        Arrays.fill(requests, 0);
        Arrays.fill(retries, 0);
        bucket = currentBucket;
      }
    }

    /**
     * Returns the requests without those of the oldest bucket, of which only a part lies in the
     * window: requests before the window must not allow retries.
     */
    long requests() {
      long sum = 0;
      for (int i = 0; i < BUCKETS; i++) {
        sum += requests[i];
      }
      return sum;
    }

    /** Returns the retries, including those of the oldest bucket. */
    long retries() {
      long sum = 0;
      for (long count : retries) {
        sum += count;
      }
      return sum;
    }
  }
}
