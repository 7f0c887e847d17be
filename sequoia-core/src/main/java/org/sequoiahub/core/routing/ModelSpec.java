package org.sequoiahub.core.routing;

/**
 * One base model of a service.
 *
 * @param name the model's name
 * @param weightsMb memory of its weights (MB)
 * @param adapterMb memory of one of its adapters (MB)
 * @param loadMillis how long its weights take from the weight store
 */
public record ModelSpec(String name, double weightsMb, double adapterMb, long loadMillis) {}
