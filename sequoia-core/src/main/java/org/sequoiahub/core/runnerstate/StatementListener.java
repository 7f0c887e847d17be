package org.sequoiahub.core.runnerstate;

/** Is notified of what becomes known of a runner from its statements. */
public interface StatementListener {

  /**
   * Called once when it becomes known that a runner leaves.
   *
   * @param runner the key of the runner's incarnation
   * @param fromPeer whether another host received the statement
   * @param ageMillis how long ago a host received it (ms)
   */
  void leavingKnown(String runner, boolean fromPeer, long ageMillis, long nowMillis);

  /** Called when it is forgotten that a runner leaves, as the runner has been gone for long. */
  void leavingForgotten(String runner, long nowMillis);

  /**
   * Called when a runner asks for a backoff, unless that ends before the one in force.
   *
   * @param runner the key of the runner's incarnation
   * @param millis how long the backoff is (ms)
   * @param extended whether another backoff was in force
   */
  void backoffBegun(String runner, long millis, boolean extended, long nowMillis);

  /** Called when a runner's backoff has ended. */
  void backoffEnded(String runner, long nowMillis);
}
