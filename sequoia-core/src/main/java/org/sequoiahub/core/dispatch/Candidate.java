package org.sequoiahub.core.dispatch;

import org.sequoiahub.core.upstream.RunnerEntry;

/**
 * A runner that may get a request, with all that the choice depends on.
 *
 * @param runner the runner
 * @param inFlight requests there now, from all hosts
 * @param unreadAheadTokens prompt tokens of these that are still to be read
 * @param queuedAheadTokens prompt tokens of requests that wait to be sent there
 * @param unreadTokens prompt tokens of the request that are still to be read there
 * @param adapterWaitMillis until the adapter can serve there; 0 if it does or none is needed
 * @param warm whether it dropped the adapter so lately that it brings it back quickly
 * @param adapterUses requests that use the adapter or wait for it, at all runners
 * @param heldOrLoading whether the model and the adapter are there or on their way
 * @param hasRoom whether the adapter could be loaded at once
 * @param hasHolder whether some host may order the runner now
 * @param failureRate part of recent requests that failed there
 * @param latencyMillis how long requests took there lately; 0 if unknown
 * @param vanished whether its entry disappeared just now
 * @param sameFailureDomain whether it is in this host's failure domain
 */
public record Candidate(
    RunnerEntry runner,
    int inFlight,
    long unreadAheadTokens,
    long queuedAheadTokens,
    int unreadTokens,
    long adapterWaitMillis,
    boolean warm,
    int adapterUses,
    boolean heldOrLoading,
    boolean hasRoom,
    boolean hasHolder,
    double failureRate,
    double latencyMillis,
    boolean vanished,
    boolean sameFailureDomain) {}
