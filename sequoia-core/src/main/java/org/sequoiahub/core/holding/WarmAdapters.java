package org.sequoiahub.core.holding;

import java.util.LinkedHashMap;

/**
 * Tracks the adapters that one runner unloaded, in unload order. The runner reloads them quickly
 * and without the weight store as long as it has not unloaded too many others since.
 */
final class WarmAdapters {

  /** Maximum number of tracked adapters: about 100 bytes each, for a few runners per host. */
  private static final int MAX_REMEMBERED = 1_024;

  private final WarmCapacity capacity;
  private final LinkedHashMap<String, Boolean> unloaded = new LinkedHashMap<>();

  /**
   * Creates an empty list.
   *
   * @param capacity the estimate of how many unloaded adapters a runner can reload quickly
   */
  WarmAdapters(WarmCapacity capacity) {
    this.capacity = capacity;
  }

  /** Records that the runner unloaded an adapter. */
  void add(String target) {
    unloaded.remove(target);
    unloaded.put(target, true);
    if (unloaded.size() > MAX_REMEMBERED) {
      unloaded.remove(unloaded.keySet().iterator().next());
    }
  }

  void remove(String target) {
    unloaded.remove(target);
  }

  /** Returns whether the runner is expected to reload an adapter quickly. */
  boolean contains(String target) {
    return depth(target) >= 0;
  }

  /**
   * Returns how many adapters were unloaded after this one; negative if it was not unloaded, or if
   * too many others were for the runner to reload it quickly.
   */
  int depth(String target) {
    if (!unloaded.containsKey(target)) {
      return -1;
    }
    int before = 0;
    for (String earlier : unloaded.keySet()) {
      if (earlier.equals(target)) {
        break;
      }
      before++;
    }
    int depth = unloaded.size() - before - 1;
    return capacity.expectsFastReload(depth) ? depth : -1;
  }
}
