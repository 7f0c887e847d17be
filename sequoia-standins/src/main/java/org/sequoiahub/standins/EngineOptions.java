package org.sequoiahub.standins;

/**
 * Configures the capacity and the timing of an {@link EngineStandin}.
 *
 * @param id the runner's name
 * @param port the port to listen on; 0 selects a free port
 * @param slots the number of adapter versions that can be loaded at the same time
 * @param batchSize the number of requests that run at the same time
 * @param loadMillis the duration of a load, in milliseconds, at the weight store's full speed
 * @param prefillMillis the time in milliseconds from a request's start to its first token
 * @param tokenIntervalMillis the time in milliseconds between two tokens
 * @param sampleIntervalMillis the interval in milliseconds at which the load report is sampled
 * @param checksFencing whether orders with an outdated fencing number are refused
 */
public record EngineOptions(
    String id,
    int port,
    int slots,
    int batchSize,
    long loadMillis,
    long prefillMillis,
    long tokenIntervalMillis,
    long sampleIntervalMillis,
    boolean checksFencing) {}
