package org.sequoiahub.core.holding;

import java.util.LinkedHashMap;

/**
 * The adapters that one runner dropped, the latest last: it brings these back quickly and without
 * the weight store, as long as it has not dropped too many others since.
 */
final class WarmAdapters {

  /** Dropped adapters that are remembered at most: a hundred bytes each, a few runners a host. */
  private static final int MAX_REMEMBERED = 1_024;

  private final WarmCapacity capacity;
  private final LinkedHashMap<String, Boolean> unloaded = new LinkedHashMap<>();

  /**
   * Creates an empty memory.
   *
   * @param capacity what was learnt of how many such adapters a runner keeps
   */
  WarmAdapters(WarmCapacity capacity) {
    this.capacity = capacity;
  }

  /** Records that the runner dropped an adapter. */
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

  /** Returns whether the runner is expected to bring an adapter back quickly. */
  boolean contains(String target) {
    return depth(target) >= 0;
  }

  /**
   * Returns how many adapters were dropped since this one; negative if it was not dropped, or if
   * too many were for the runner to bring it back quickly.
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
