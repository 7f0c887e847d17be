package org.sequoiahub.core.upstream;

import java.util.Map;
import java.util.Set;

/**
 * What a runner published of itself.
 *
 * @param id names one start of the runner; a restart has another
 * @param service the service that it belongs to
 * @param address its host:port, which another runner may get later
 * @param failureDomain where it runs
 * @param slots requests that it processes at once
 * @param leaving whether it asked for no more work
 * @param remainingMillis how long it still exists from this entry on; negative if it did not say
 * @param slowMillis how long it stays slow after its start
 * @param heldModels the base models that it held when it wrote this
 * @param heldAdapters adapters as model/adapter, with the version of each
 */
public record RunnerEntry(
    String id,
    String service,
    String address,
    String failureDomain,
    int slots,
    boolean leaving,
    long remainingMillis,
    long slowMillis,
    Set<String> heldModels,
    Map<String, Integer> heldAdapters) {

  /** Copies the collections. */
  public RunnerEntry {
    heldModels = Set.copyOf(heldModels);
    heldAdapters = Map.copyOf(heldAdapters);
  }
}
