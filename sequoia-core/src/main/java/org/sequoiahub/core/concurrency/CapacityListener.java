package org.sequoiahub.core.concurrency;

/** Is notified when a runner accepts fewer calls than it was known to. */
@FunctionalInterface
public interface CapacityListener {

  /**
   * Handles a reduction.
   *
   * @param runner the key of the runner's incarnation
   * @param before how many calls the runner was known to accept
   * @param after how many it is taken to accept from now on
   * @param held how many calls and unused permits the hosts had when the runner refused
   * @param refusedInLastSecond the runner's refusals within the last second, as far as known
   * @param refusalsPerSecond how many refusals per second the runner withstands
   */
  void capacityReduced(
      String runner,
      int before,
      int after,
      int held,
      int refusedInLastSecond,
      double refusalsPerSecond,
      long nowMillis);
}
