package org.sequoiahub.core.upstream;

import java.util.Map;
import java.util.Set;

/**
 * What a runner published of itself.
 *
 * @param incarnation which runner, and which of its lives
 * @param sequence a count that only grows in one life: an entry with a lower one is an old copy
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
    RunnerIncarnation incarnation,
    long sequence,
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

  /** Returns the key of the incarnation, under which all that is known of it is kept. */
  public String id() {
    return incarnation.key();
  }

  /** Returns the hash of {@link #id}, the same on every host. */
  public long idHash() {
    return incarnation.keyHash();
  }

  /** Returns the id that the runner answers to; a restart may keep it. */
  public String instance() {
    return incarnation.runner();
  }

  /**
   * Returns whether this is an old copy of what {@code known} replaced: of an earlier life, or an
   * earlier word of the same one.
   */
  public boolean isOlderThan(RunnerEntry known) {
    boolean sameLife = incarnation.equals(known.incarnation);
    boolean startKnown = incarnation.startedAtMillis() != RunnerIncarnation.UNKNOWN_START;
    return incarnation.isBefore(known.incarnation)
        || (sameLife && startKnown && sequence < known.sequence);
  }
}
