package org.sequoiahub.core.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides which requests a stopping host still accepts, and when it has to finish them.
 *
 * <p>Callers keep using its address for some seconds. A request that is accepted too late is cut
 * off when the process ends, and its caller cannot tell whether it ran. A request that is rejected
 * immediately can be served by another host.
 *
 * @param requestedMillis when the host was asked to stop (ms)
 * @param graceMillis the time after which the platform kills the process (ms)
 */
public record Shutdown(long requestedMillis, long graceMillis) {

  /** Fraction of the grace time after which the process ends, whatever is in progress. */
  private static final double END_FRACTION = 0.86;

  /**
   * The shortest time that is left for the exit of the process (ms): a slow host takes longer than
   * 0.6 s to write its last log lines and to exit, independently of its grace time.
   */
  private static final long MIN_EXIT_MILLIS = 850;

  /** Maximum fraction of the grace time that {@link #MIN_EXIT_MILLIS} may take. */
  private static final double MAX_EXIT_FRACTION = 0.25;

  /**
   * Fraction of the grace time during which all requests are accepted: most callers have not
   * requested new addresses yet, and responses take a tenth of the remaining time (0.4 of 4.1 s).
   * Later requests are only accepted if their timeout fits into the remaining time; otherwise one
   * that is sent 3.3 s after the signal is cut off without a response.
   */
  private static final double ACCEPT_ALL_FRACTION = 0.35;

  /** How long before the process ends requests without a response get a final status (ms). */
  private static final long FINAL_STATUS_MARGIN_MILLIS = 150;

  /** Checks the arguments. */
  public Shutdown {
    checkArgument(graceMillis > 0, "graceMillis must be above 0, was %s", graceMillis);
  }

  /** Returns when the process ends (ms). */
  public long endMillis() {
    long exitMillis = Math.min(MIN_EXIT_MILLIS, (long) (graceMillis * MAX_EXIT_FRACTION));
    return requestedMillis
        + Math.min((long) (graceMillis * END_FRACTION), graceMillis - exitMillis);
  }

  /** Returns when requests without a response get a final status, whatever they wait for (ms). */
  public long finalStatusMillis() {
    return endMillis() - FINAL_STATUS_MARGIN_MILLIS;
  }

  /**
   * Returns whether a new request is accepted.
   *
   * @param timeoutMillis the longest time that the caller and the route allow for the request (ms)
   */
  public boolean accepts(long timeoutMillis, long nowMillis) {
    return acceptsAll(nowMillis) || nowMillis + timeoutMillis <= finalStatusMillis();
  }

  /** Returns whether all requests are accepted, whatever their timeout. */
  public boolean acceptsAll(long nowMillis) {
    return nowMillis < requestedMillis + (long) (graceMillis * ACCEPT_ALL_FRACTION);
  }
}
