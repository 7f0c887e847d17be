package org.sequoiahub.core.quarantine;

/** Told what this host has seen of requests under which runners end, for the other hosts. */
public interface RunnerTerminationListener {

  /** Receives a runner's end under a request that was not known here. */
  void onTermination(RunnerTermination end, long nowMillis);

  /** Receives that a request which was suspect had a good answer. */
  void onCleared(long request, long atMillis, long nowMillis);
}
