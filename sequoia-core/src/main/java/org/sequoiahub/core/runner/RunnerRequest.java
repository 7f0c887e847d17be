package org.sequoiahub.core.runner;

import static java.util.Objects.requireNonNull;

import org.sequoiahub.core.record.AdapterVersion;
import org.sequoiahub.core.record.Priority;

/**
 * A request that waits for a runner or runs on it.
 *
 * @param id the request id, unique in the fleet
 * @param adapter the exact adapter version that the request was resolved to
 * @param priority the request's priority
 * @param deadlineMillis when the caller stops waiting, on the dispatcher's clock (ms)
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
