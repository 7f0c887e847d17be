package org.sequoiahub.core.upstream;

import java.util.Map;
import java.util.Set;

/**
 * An entry that a runner published about itself.
 *
 * @param incarnation the runner and which of its processes wrote the entry
 * @param sequence a number that only increases within an incarnation: an entry with a lower one is
 *     an obsolete copy
 * @param service the service that the runner belongs to
 * @param version the version of its software
 * @param address the runner's host:port, which another runner may get later
 * @param failureDomain the failure domain in which it runs
 * @param slots the number of requests that it processes concurrently
 * @param leaving whether it asked for no more work
 * @param remainingMillis how long it will exist from this entry on; negative if it didn't state
 *     that
 * @param slowMillis how long it remains slow after its start
 * @param heldModels the base models that it held when it wrote the entry
 * @param heldAdapters the adapters that it held as model/adapter, with the version of each
 */
public record RunnerEntry(
    RunnerIncarnation incarnation,
    long sequence,
    String service,
    SoftwareVersion version,
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

  /** Returns the key of the incarnation, by which all state of the runner is indexed. */
  public String id() {
    return incarnation.key();
  }

  /** Returns the hash of {@link #id}, which is the same on every host. */
  public long idHash() {
    return incarnation.keyHash();
  }

  /** Returns the id by which the runner identifies itself; a restarted runner may keep it. */
  public String instance() {
    return incarnation.runner();
  }

  /** Returns this entry with the announcement that the runner leaves. */
  public RunnerEntry asLeaving() {
    return leaving
        ? this
        : new RunnerEntry(
            incarnation,
            sequence,
            service,
            version,
            address,
            failureDomain,
            slots,
            true,
            remainingMillis,
            slowMillis,
            heldModels,
            heldAdapters);
  }

  /**
   * Returns whether this is an obsolete copy compared with {@code known}: of an earlier
   * incarnation, or an earlier entry of the same one.
   */
  public boolean isOlderThan(RunnerEntry known) {
    boolean sameIncarnation = incarnation.equals(known.incarnation);
    boolean startKnown = incarnation.startedAtMillis() != RunnerIncarnation.UNKNOWN_START;
    return incarnation.isBefore(known.incarnation)
        || (sameIncarnation && startKnown && sequence < known.sequence);
  }
}
