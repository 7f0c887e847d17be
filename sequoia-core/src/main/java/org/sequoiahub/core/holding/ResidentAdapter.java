package org.sequoiahub.core.holding;

/**
 * An adapter that a runner holds or is loading.
 *
 * @param target the combined name of the model and the adapter
 * @param version the adapter's version; 0 if the newest was requested
 * @param readyMillis when it can serve requests, on this host's clock (ms)
 */
public record ResidentAdapter(String target, int version, long readyMillis) {}
