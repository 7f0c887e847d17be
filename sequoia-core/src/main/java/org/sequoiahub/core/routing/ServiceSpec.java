package org.sequoiahub.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * One service of the operator's configuration.
 *
 * @param name the service's name
 * @param connectionLimit connections that one of its runners accepts from all hosts together
 * @param engine what its runners hold, or null for a plain service
 */
public record ServiceSpec(String name, int connectionLimit, @Nullable EngineSpec engine) {}
