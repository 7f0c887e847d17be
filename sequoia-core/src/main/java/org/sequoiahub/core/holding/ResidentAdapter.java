package org.sequoiahub.core.holding;

/**
 * An adapter at a runner.
 *
 * @param target model and adapter as one name
 * @param version its version; 0 if the newest was asked for
 * @param readyMillis when it can serve, on the clock of whoever holds this record
 */
public record ResidentAdapter(String target, int version, long readyMillis) {}
