package org.sequoiahub.core.routing;

/**
 * A base model of a service.
 *
 * @param name the model's name
 * @param weightsMb the memory of its weights (MB)
 * @param adapterMb the memory of one of its adapters (MB)
 * @param loadMillis how long loading its weights from the weight store takes
 */
public record ModelSpec(String name, double weightsMb, double adapterMb, long loadMillis) {}
