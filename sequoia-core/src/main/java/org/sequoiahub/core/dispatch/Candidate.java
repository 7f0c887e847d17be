package org.sequoiahub.core.dispatch;

import org.sequoiahub.core.capacity.RunnerSpeed;
import org.sequoiahub.core.runnerstate.SendDecision;
import org.sequoiahub.core.upstream.RunnerEntry;

/**
 * A runner that a request may be sent to, with everything that the choice depends on.
 *
 * @param runner the runner
 * @param inFlight the number of requests of all hosts at the runner
 * @param unreadAheadTokens the prompt tokens of these requests that are not read yet
 * @param queuedAheadTokens the prompt tokens of requests that wait to be sent to the runner
 * @param unreadTokens the prompt tokens of this request that the runner would have to read
 * @param adapterWaitMillis the time until the adapter can serve requests (ms); 0 if it can now or
 *     if none is needed
 * @param sendDecision whether this request may be sent to the runner now, by what the runner
 *     stated; a rate limit must permit the orders that must precede it too
 * @param warm whether the runner unloaded the adapter so recently that it can reload it quickly
 * @param adapterUses the number of requests that use the adapter or wait for it, at all runners
 * @param heldOrLoading whether the runner holds or is loading the model and the adapter
 * @param hasRoom whether the adapter could be loaded without waiting for a place
 * @param hasHolder whether some host may order the runner now
 * @param failureRate the fraction of recent requests that failed, from 0 to 1
 * @param latencyMillis how long recent requests took (ms); 0 if unknown
 * @param vanished whether the runner's entry has just disappeared
 * @param sameFailureDomain whether the runner is in this host's failure domain
 * @param speed how fast the runner works
 */
public record Candidate(
    RunnerEntry runner,
    int inFlight,
    long unreadAheadTokens,
    long queuedAheadTokens,
    int unreadTokens,
    long adapterWaitMillis,
    SendDecision sendDecision,
    boolean warm,
    int adapterUses,
    boolean heldOrLoading,
    boolean hasRoom,
    boolean hasHolder,
    double failureRate,
    double latencyMillis,
    boolean vanished,
    boolean sameFailureDomain,
    RunnerSpeed speed) {

  /** Creates a candidate with the speed assumed where nothing is estimated. */
  public Candidate(
      RunnerEntry runner,
      int inFlight,
      long unreadAheadTokens,
      long queuedAheadTokens,
      int unreadTokens,
      long adapterWaitMillis,
      SendDecision sendDecision,
      boolean warm,
      int adapterUses,
      boolean heldOrLoading,
      boolean hasRoom,
      boolean hasHolder,
      double failureRate,
      double latencyMillis,
      boolean vanished,
      boolean sameFailureDomain) {
    this(
        runner,
        inFlight,
        unreadAheadTokens,
        queuedAheadTokens,
        unreadTokens,
        adapterWaitMillis,
        sendDecision,
        warm,
        adapterUses,
        heldOrLoading,
        hasRoom,
        hasHolder,
        failureRate,
        latencyMillis,
        vanished,
        sameFailureDomain,
        RunnerSpeed.DEFAULT);
  }

  /** Returns the expected time until the request may be sent to the runner (ms). */
  public long sendWaitMillis() {
    return sendDecision.waitMillis();
  }
}
