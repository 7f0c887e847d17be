package org.sequoiahub.core.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * This host's part of a retry budget that all hosts share, for each service.
 *
 * <p>When everything fails, retries multiply the load on what is left; the sign is more arrivals at
 * runners than requests. Nobody counts for all hosts: each keeps to a share of the requests that it
 * took itself, plus an equal part of the fixed allowance.
 *
 * <p>A process that ends takes what it knew with it, and the next one may spend again in the same
 * window. So a process that may have a predecessor draws on a part of the budget of its own while
 * it is younger than a window. It earns of that part what its own requests and its age give: any
 * number of restarts in one window add up to no more than the part.
 */
public final class SharedRetryBudget {

  /** Part of the budget for processes that know all that their host spent in the window. */
  private static final double FULL_HISTORY_FRACTION = 0.65;

  /** Part of the budget for processes that do not; the rest covers retries that arrive late. */
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
   * @param firstOfHost whether no process of this host ran before
   */
  public SharedRetryBudget(RetryBudgetSettings settings, long startedMillis, boolean firstOfHost) {
    this.settings = requireNonNull(settings, "settings must not be null");
    checkArgument(
        settings.windowMillis() >= BUCKETS,
        "windowMillis must be %s or more, was %s",
        BUCKETS,
        settings.windowMillis());
    this.bucketMillis = settings.windowMillis() / BUCKETS;
    this.startedMillis = startedMillis;
    this.firstProcessOfHost = firstOfHost;
  }

  /** Counts a request of a service. */
  public void recordRequest(String service, long nowMillis) {
    window(service, nowMillis).requests[0]++;
  }

  /**
   * Takes one retry; false if none is left.
   *
   * @param hosts how many hosts share the budget, this one included; 0 if that is not known
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

  /** Returns the retries taken and allowed in the present window. */
  public Usage usage(String service, int hosts, long nowMillis) {
    checkArgument(hosts >= 0, "hosts must not be negative, was %s", hosts);
    Window window = window(service, nowMillis);
    return new Usage(window.retries(), allowed(window, hosts, nowMillis));
  }

  /** Returns the services for which something was counted. */
  public Set<String> services() {
    return Set.copyOf(windows.keySet());
  }

  /** Retries taken and allowed. */
  public record Usage(long taken, double allowed) {}

  private double allowed(Window window, int hosts, long nowMillis) {
    double earned = settings.ratio() * window.requests();
    // A host that sees no other may be one of many that see none.
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
        Arrays.fill(requests, 0);
        Arrays.fill(retries, 0);
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
