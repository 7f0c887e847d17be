package org.sequoiahub.core.runner;

import java.util.Map;
import java.util.Set;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * An engine's report of its state.
 *
 * @param sampledNotBeforeMillis a time on the reader's clock that certainly precedes the sample:
 *     the time at which the query was sent less the sample age that the engine reports
 * @param resident the adapter versions that are loaded
 * @param loading the adapter versions that are being loaded
 * @param active the adapter versions of the requests that run or wait in the engine, by request id
 */
public record EngineReport(
    long sampledNotBeforeMillis,
    Set<AdapterVersion> resident,
    Set<AdapterVersion> loading,
    Map<String, AdapterVersion> active) {
  /** Copies the collections. */
  public EngineReport {
    resident = Set.copyOf(resident);
    loading = Set.copyOf(loading);
    active = Map.copyOf(active);
  }
}
