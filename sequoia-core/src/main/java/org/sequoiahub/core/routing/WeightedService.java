package org.sequoiahub.core.routing;

/**
 * One destination of a route.
 *
 * @param service the service's name
 * @param weight its share of the route's requests, relative to the other destinations; 0 for none
 */
public record WeightedService(String service, double weight) {}
