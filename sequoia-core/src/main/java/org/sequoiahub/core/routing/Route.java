package org.sequoiahub.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * A route of the operator's configuration.
 *
 * @param name the route's name
 * @param host the host name that callers use
 * @param prefix the start of the path, with a slash at both ends
 * @param repeatPolicy whether requests may run again
 * @param timeoutMillis the longest time that a caller waits for the whole response
 * @param targetLatencyMillis the time within which a response has its full value to the caller
 * @param priority the priority, where 0 is the most urgent
 * @param services the destinations of the requests, at least one
 * @param maxAttempts the maximum number of runners on which one request may run
 * @param maxEventGapMillis the longest gap between two events of a stream that the caller accepts;
 *     0 if the response is not a stream
 * @param anonymousAccess whether no access key is required
 */
public record Route(
    String name,
    String host,
    String prefix,
    RepeatPolicy repeatPolicy,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    long maxEventGapMillis,
    boolean anonymousAccess) {

  private static final long MIN_PATIENCE_MILLIS = 2_000;
  private static final long PATIENCE_LATENCY_FACTOR = 4;
  private static final long PATIENCE_EVENT_GAP_FACTOR = 8;

  /** Checks the arguments. */
  public Route {
    checkArgument(prefix.startsWith("/") && prefix.endsWith("/"), "prefix must be /…/: %s", prefix);
    checkArgument(timeoutMillis > 0, "timeoutMillis must be above 0, was %s", timeoutMillis);
    checkArgument(maxAttempts > 0, "maxAttempts must be above 0, was %s", maxAttempts);
    services = List.copyOf(services);
    checkArgument(!services.isEmpty(), "services must not be empty");
  }

  /**
   * Returns how long a caller waits for the next event of a stream before it disconnects (ms).
   *
   * <p>Callers disconnect after the longest of 2 s, four times the target latency and eight times
   * the maximum gap between events; a request that cannot start by then is better rejected at once.
   */
  public long patienceMillis() {
    return Math.max(
        MIN_PATIENCE_MILLIS,
        Math.max(
            PATIENCE_LATENCY_FACTOR * targetLatencyMillis,
            PATIENCE_EVENT_GAP_FACTOR * maxEventGapMillis));
  }

  /**
   * Selects the destination of a request, at random by weight.
   *
   * @param draw a uniformly distributed number from 0 (inclusive) to 1 (exclusive)
   */
  public String selectService(double draw) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double remaining = draw * total;
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
