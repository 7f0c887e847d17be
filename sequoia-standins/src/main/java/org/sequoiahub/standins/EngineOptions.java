package org.sequoiahub.standins;

/**
 * How an engine stand-in behaves.
 *
 * @param id the runner's name
 * @param port the port; 0 picks one
 * @param slots adapter versions held at once
 * @param batchSize requests run at once
 * @param loadMillis how long a load takes at the weight store's full speed
 * @param prefillMillis time from a request's start to its first token
 * @param tokenIntervalMillis time between two tokens
 * @param sampleIntervalMillis how often the load report is sampled
 * @param checksFencing whether orders with an old fencing number are refused
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
