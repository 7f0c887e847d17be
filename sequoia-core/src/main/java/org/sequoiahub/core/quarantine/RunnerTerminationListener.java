package org.sequoiahub.core.quarantine;

/**
 * Listener for changes of this host's quarantine records, used to propagate them to the other
 * hosts.
 */
public interface RunnerTerminationListener {

  /** Called when a termination was recorded that this host did not know. */
  void onTermination(RunnerTermination termination, long nowMillis);

  /**
   * Called when a request that had terminations on record received a successful response.
   *
   * @param atMillis when the response was complete
   */
  void onCleared(long request, long atMillis, long nowMillis);
}
