package org.sequoiahub.core.holding;

import java.util.Map;
import java.util.Set;

/**
 * A runner's own account of what it holds, some hundred milliseconds old.
 *
 * @param startedAtMillis the time of day of its start (ms since 1970); 0 if it does not say
 * @param sequence orders that it accepted since its start
 * @param modelOrderPending whether an order for a base model is in progress
 * @param models base models that it holds
 * @param adapters adapters that it holds, as model/adapter, with their versions
 * @param loading adapters on their way, with their versions
 */
public record RunnerReport(
    long startedAtMillis,
    long sequence,
    boolean modelOrderPending,
    Set<String> models,
    Map<String, Integer> adapters,
    Map<String, Integer> loading) {}
