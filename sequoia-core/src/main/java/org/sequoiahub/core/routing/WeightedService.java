package org.sequoiahub.core.routing;

/**
 * A destination of a route.
 *
 * @param service the service's name
 * @param weight the weight relative to the route's other destinations; 0 for no requests
 */
public record WeightedService(String service, double weight) {}
