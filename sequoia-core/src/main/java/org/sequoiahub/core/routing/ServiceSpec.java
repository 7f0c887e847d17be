package org.sequoiahub.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * A service of the operator's configuration.
 *
 * @param name the service's name
 * @param connectionLimit the maximum number of connections that one of its runners accepts from all
 *     hosts together
 * @param healthPath the path at which its runners answer whether they are healthy; empty if the
 *     configuration names none
 * @param engine the properties of its runners; null for a plain service
 */
public record ServiceSpec(
    String name, int connectionLimit, String healthPath, @Nullable EngineSpec engine) {}
