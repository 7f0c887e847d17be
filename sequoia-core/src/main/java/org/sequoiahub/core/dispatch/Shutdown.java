package org.sequoiahub.core.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a host that was asked to stop still takes, and until when it finishes what it took.
 *
 * <p>Callers go on using its address for some seconds. A request that is taken too late is cut with
 * the process, and its caller cannot tell whether it ran; refused at once, it is served by another
 * host.
 *
 * @param requestedMillis when the host was asked to stop
 * @param graceMillis how long after that the platform kills the process
 */
public record Shutdown(long requestedMillis, long graceMillis) {

  /**
   * The process ends after this part of the grace time, whatever is in progress: what is left over
   * of 8 s covers a slow host's exit (0.6 s were too few).
   */
  private static final double END_FRACTION = 0.86;

  /**
   * Until this part of the grace time all requests are taken: most callers have not asked for new
   * addresses yet, and answers take a tenth of what is left then (0.4 of 4.1 s). Later ones are
   * only taken if their whole time fits: one sent 3.3 s after the signal was cut unanswered.
   */
  private static final double ACCEPT_ALL_FRACTION = 0.35;

  /** Requests that have no answer this long before the end get their final status (ms). */
  private static final long FINAL_STATUS_MARGIN_MILLIS = 150;

  /** Checks the arguments. */
  public Shutdown {
    checkArgument(graceMillis > 0, "graceMillis must be above 0, was %s", graceMillis);
  }

  /** Returns when the process ends. */
  public long endMillis() {
    return requestedMillis + (long) (graceMillis * END_FRACTION);
  }

  /**
   * Returns when requests that are still without an answer get a status, whatever they wait for.
   */
  public long finalStatusMillis() {
    return endMillis() - FINAL_STATUS_MARGIN_MILLIS;
  }

  /**
   * Returns whether a new request is taken.
   *
   * @param wantedMillis the longest time that its caller and its route allow it
   */
  public boolean accepts(long wantedMillis, long nowMillis) {
    return acceptsAll(nowMillis) || nowMillis + wantedMillis <= finalStatusMillis();
  }

  /** Returns whether requests are still taken that the first part of the grace time allows. */
  public boolean acceptsAll(long nowMillis) {
    return nowMillis < requestedMillis + (long) (graceMillis * ACCEPT_ALL_FRACTION);
  }
}
