package org.sequoiahub.core.ratelimit;

/** Is notified when a runner's limit begins, changes or ends. */
@FunctionalInterface
public interface LimitListener {

  /**
   * Handles a change.
   *
   * @param runner the key of the runner's incarnation
   * @param before the limit until now (requests per second); {@link RunnerLimits#UNLIMITED} if none
   * @param after the limit from now on; {@link RunnerLimits#UNLIMITED} if it ends
   * @param fromPeer whether another host told this one
   */
  void limitChanged(String runner, double before, double after, boolean fromPeer, long nowMillis);
}
