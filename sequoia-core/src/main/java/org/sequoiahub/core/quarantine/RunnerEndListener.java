package org.sequoiahub.core.quarantine;

/** Told what this host has seen of requests under which runners end, for the other hosts. */
public interface RunnerEndListener {

  /** Receives a runner's end under a request that was not known here. */
  void ended(RunnerEnd end, long nowMillis);

  /** Receives that a request which was suspect had a good answer. */
  void cleared(long request, long atMillis, long nowMillis);
}
