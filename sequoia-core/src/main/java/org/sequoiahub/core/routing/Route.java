package org.sequoiahub.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * One route of the operator's configuration.
 *
 * @param name the route's name
 * @param host the host name that callers use
 * @param prefix the start of the path, with a slash at both ends
 * @param repeatPolicy what may be repeated
 * @param timeoutMillis the longest time that a caller is kept waiting for the whole answer
 * @param targetLatencyMillis the time within which an answer is worth most to its caller
 * @param priority 0 is the most urgent
 * @param services where its requests go, at least one
 * @param maxAttempts on how many runners one request may run
 * @param maxEventGapMillis the longest pause between two events of a stream that the caller
 *     accepts; 0 if not a stream
 * @param anonymousAccess whether it needs no access key
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
   * Returns how long a caller waits for the next event of a stream before it leaves (ms).
   *
   * <p>The users' callers leave after 2 s, four times the target or eight times the pause,
   * whichever is longest; a request that cannot start by then is better refused at once.
   */
  public long patienceMillis() {
    return Math.max(
        MIN_PATIENCE_MILLIS,
        Math.max(
            PATIENCE_LATENCY_FACTOR * targetLatencyMillis,
            PATIENCE_EVENT_GAP_FACTOR * maxEventGapMillis));
  }

  /**
   * Returns the destination of one request.
   *
   * @param draw a number drawn evenly from 0 (inclusive) to 1 (exclusive)
   */
  public String selectService(double draw) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double left = draw * total;
    for (WeightedService candidate : services) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
