package org.sequoiahub.core.holding;

import java.util.Map;
import java.util.Set;

/**
 * A runner's own report of what it holds, typically some hundred milliseconds old.
 *
 * @param startedAtMillis the time of day of its start (ms since 1970); 0 if not reported
 * @param sequence the number of orders that it accepted since its start
 * @param modelOrderPending whether an order for a base model is in progress
 * @param models the base models that it holds
 * @param adapters the adapters that it holds, as model/adapter, with their versions
 * @param loading the adapters that it is loading, with their versions
 */
public record RunnerReport(
    long startedAtMillis,
    long sequence,
    boolean modelOrderPending,
    Set<String> models,
    Map<String, Integer> adapters,
    Map<String, Integer> loading) {}
