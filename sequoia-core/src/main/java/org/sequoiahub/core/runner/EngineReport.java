package org.sequoiahub.core.runner;

import java.util.Map;
import java.util.Set;
import org.sequoiahub.core.record.AdapterVersion;

/**
 * What an engine said of itself.
 *
 * @param sampledNotBeforeMillis a moment, on the reader's clock, that surely lies before the
 *     sample: the sending of the question less the age that the engine gives for its sample
 * @param resident adapter versions that are loaded
 * @param loading adapter versions that are being loaded
 * @param active requests that run or wait inside the engine, by id, with their adapter version
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
