package org.sequoiahub.core.dispatch;

/**
 * What the streams of a service bear.
 *
 * @param maxPauseMillis the longest pause between two events that callers accept; 0 if none said
 * @param tokensPerEvent tokens of one event, each of which takes a step
 * @param timeToTargetMillis how much longer the first event may take to be in time; not above 0 if
 *     it is late already
 */
public record StreamLimits(long maxPauseMillis, int tokensPerEvent, long timeToTargetMillis) {}
