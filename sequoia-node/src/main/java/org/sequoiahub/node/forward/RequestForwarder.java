package org.sequoiahub.node.forward;

import org.jspecify.annotations.Nullable;
import org.sequoiahub.core.upstream.SoftwareVersion;
import org.sequoiahub.node.caller.CallerExchange;

/** Passes callers' requests on to other hosts. */
@FunctionalInterface
public interface RequestForwarder {

  /** A request that was passed on and has not ended. */
  @FunctionalInterface
  interface Forwarded {
    /** Cancels the request at the other host; the listener is not called any more. */
    void cancel();
  }

  /**
   * Passes a request on.
   *
   * @param ip the other host's IP address
   * @param remainingMillis how long the caller still waits (ms)
   * @param priorRuns the number of attempts before that may have run
   * @param lastEventId the last event that the caller received of them; empty if none
   * @param streamVersion the software version at which the stream must go on; null if it is a new
   *     one
   */
  Forwarded forward(
      CallerExchange exchange,
      String ip,
      long remainingMillis,
      int priorRuns,
      String lastEventId,
      @Nullable SoftwareVersion streamVersion,
      ForwardListener listener);
}
