package org.sequoiahub.core.dispatch;

/**
 * The latency limits of a service's streams.
 *
 * @param maxPauseMillis the longest pause between two events that callers accept (ms); 0 if not
 *     specified
 * @param tokensPerEvent the number of tokens per event, each of which takes a step
 * @param timeToTargetMillis the time left until the first event misses its target latency (ms); not
 *     above 0 if it is late already
 */
public record StreamLimits(long maxPauseMillis, int tokensPerEvent, long timeToTargetMillis) {}
