package org.sequoiahub.core.origin;

/** As of when this host knows all runners. */
public interface RunnerKnowledge {

  /**
   * Returns the time as of which all runners are known (ms): no later than when the store was asked
   * for what it answered about the runners.
   */
  long knownMillis();

  /** Requests that the store is asked now, if this host does not follow the runners itself. */
  void request(long nowMillis);
}
