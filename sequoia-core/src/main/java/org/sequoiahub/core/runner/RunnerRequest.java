package org.sequoiahub.core.runner;

import static java.util.Objects.requireNonNull;

import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Priority;

/**
 * A request that waits for, or runs on, a runner.
 *
 * @param id unique in the fleet
 * @param adapter the exact adapter version that it was resolved to
 * @param priority its priority
 * @param deadlineMillis when its caller stops waiting, on the dispatcher's clock
 */
public record RunnerRequest(
    String id, AdapterVersion adapter, Priority priority, long deadlineMillis) {
  /** Checks the arguments. */
  public RunnerRequest {
    requireNonNull(id, "id must not be null");
    requireNonNull(adapter, "adapter must not be null");
    requireNonNull(priority, "priority must not be null");
  }
}
