package org.sequoiahub.core.capacity;

/**
 * What one host has observed of a runner, as it tells other hosts.
 *
 * @param runner the key of the runner's incarnation
 * @param source the host that observed it
 * @param quantity what was observed
 * @param value the observed value, in the unit of the quantity
 * @param ageMillis how long ago the latest observation was made (ms)
 */
public record CapacityReport(
    String runner, String source, CapacityQuantity quantity, double value, long ageMillis) {}
