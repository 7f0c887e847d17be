package org.sequoiahub.standins;

/**
 * How an engine stand-in behaves.
 *
 * @param id the runner's name
 * @param port the port; 0 picks one
 * @param slots adapter versions held at once
 * @param batch requests run at once
 * @param loadMillis how long a load takes at the weight store's full speed
 * @param prefillMillis time from a request's start to its first token
 * @param tokenMillis time between two tokens
 * @param reportMillis how often the load report is sampled
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record EngineOptions(
    String id,
    int port,
    int slots,
    int batch,
    long loadMillis,
    long prefillMillis,
    long tokenMillis,
    long reportMillis,
    boolean checksFencing) {}
