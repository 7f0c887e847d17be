package org.sequoiahub.core.capacity;

/**
 * The estimates of a service's runners in short, for operators.
 *
 * @param service the service
 * @param runners the number of its runners with an estimate, including those at the median
 * @param observed the number of runners whose pace was observed recently
 * @param median the medians of the service
 * @param slowestPace the largest estimated pace, as a multiple of the usual time
 */
public record ServiceCapacity(
    String service, int runners, int observed, RunnerSpeed median, double slowestPace) {}
